package eventcode

// Events of the root supervisor, 1000 to 1099.
const (
	HostStarted     Code = 1001
	HostDrains      Code = 1002
	HostStopped     Code = 1003
	SupervisorEvent Code = 1004
)

var rootEvents = []Entry{
	{HostStarted, "host started", "The entry host runs.", "Nothing."},
	{HostDrains, "host drains", "A graceful shutdown began; new work is refused as not run.", "Nothing."},
	{HostStopped, "host stopped", "All tasks stopped. With an error, requests were still open.", "With an error: raise --drain-timeout."},
	{SupervisorEvent, "supervisor event", "A task failed, was restarted or did not stop in time.", "Read the cause in the line; report a panic as a fault."},
}
