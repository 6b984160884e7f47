package eventcode

// Events of calls that run at most once, 1350 to 1399.
const (
	ClaimsReachability Code = 1350
	CallRefused        Code = 1351
	CallOutcomeUnknown Code = 1352
	CallRetried        Code = 1353
	AnswerRepeated     Code = 1354
	OutcomeNotRecorded Code = 1355
	TicketForwarded    Code = 1356
)

var atMostOnceEvents = []Entry{
	{ClaimsReachability, "claims table reachability", "The table service stopped or resumed answering claims; while it does not answer, calls with an idempotency key are refused as not run.", "Check the platform if it stays unreachable; callers can use tickets."},
	{CallRefused, "keyed call refused", "A call with an idempotency key or ticket was refused without a dispatch.", "Read the reason; nothing else unless it repeats."},
	{CallOutcomeUnknown, "call outcome unknown", "A call may have reached a server that did not answer; it is not sent again.", "Ask the service whether the request took effect."},
	{CallRetried, "call retried", "A call goes to another server, because no byte was sent or its method is idempotent.", "Look at the server if it repeats."},
	{AnswerRepeated, "answer repeated", "A repeated call with an idempotency key received the recorded answer.", "Nothing."},
	{OutcomeNotRecorded, "outcome not recorded", "The outcome of a call with an idempotency key is not recorded in the table yet; repeated calls get no answer until it is.", "Check the platform if it repeats."},
	{TicketForwarded, "ticket forwarded", "A call with a ticket was passed on to the entry host that issued it.", "Nothing."},
}
