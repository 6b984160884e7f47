package eventcode

// Events of admission, 1600 to 1699.
const (
	ServerEjected          Code = 1601
	RequestSuspected       Code = 1602
	CrashingRequestRefused Code = 1603
	DispatcherFailed       Code = 1604
	FactRejected           Code = 1605
)

var admissionEvents = []Entry{
	{ServerEjected, "server ejected", "A backend server failed repeatedly and receives no work until the stated time; then one request probes it.", "Look at the server if it is ejected again."},
	{RequestSuspected, "request suspected", "Two backend servers died while they ran this request; it now runs alone on a reserved server.", "Nothing; it is cleared if the server survives it."},
	{CrashingRequestRefused, "request refused for crashes", "Three backend servers died while they ran this request; it is refused for 10 minutes.", "Ask the organisation about the request, and the engine's maintainers about the crash."},
	{DispatcherFailed, "dispatcher failed", "A dispatcher failed on a request and restarted; waiting requests were refused as not run.", "Report it with the log line."},
	{FactRejected, "fact rejected", "A fact from another entry host could not be decoded.", "Check that all entry hosts run compatible versions."},
}
