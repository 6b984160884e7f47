package eventcode

// Events of requests, 1300 to 1309.
const (
	AttemptFailed     Code = 1301
	CallFailed        Code = 1302
	RequestTaskFailed Code = 1303
)

var requestEvents = []Entry{
	{AttemptFailed, "attempt failed", "An attempt of a generation ended early; the line says whether another follows.", "Read the cause; look at the server if it repeats."},
	{CallFailed, "call failed", "A call to a plain service ended without an answer.", "Read the cause; look at the server if it repeats."},
	{RequestTaskFailed, "request task failed", "A request ended because of a fault in lentilpoint.", "Report it with the log line."},
}
