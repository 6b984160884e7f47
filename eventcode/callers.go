package eventcode

// Events of the caller API, 1500 to 1549.
const (
	EventNotEncoded Code = 1501
	AnswerCut       Code = 1502
)

var callerEvents = []Entry{
	{EventNotEncoded, "event not encoded", "An event for a caller could not be encoded.", "Report it with the log line."},
	{AnswerCut, "answer cut", "The answer of a plain service ended early; the caller's connection was closed.", "Look at the server if it repeats."},
}
