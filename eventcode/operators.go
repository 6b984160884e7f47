package eventcode

// Events of the operator API, 1900 to 1999.
const (
	RevisionCommitted Code = 1901
)

var operatorEvents = []Entry{
	{RevisionCommitted, "revision committed", "An operator's change was accepted; the line names the author and the change.", "Nothing."},
}
