package eventcode

// Events of the event journal, 2000 to 2099.
const (
	EventsNotWritten Code = 2001
)

var journalEvents = []Entry{
	{EventsNotWritten, "events not written", "The object store did not accept a batch of events; the write is retried.", "Check the platform if it repeats."},
}
