package eventcode

// Events of the backend servers, 1200 to 1299.
const (
	ServerReachability Code = 1201
	TransportReplaced  Code = 1202
	ServerTaskBusy     Code = 1203
)

var backendEvents = []Entry{
	{ServerReachability, "server reachability", "A backend server stopped or resumed answering load reports.", "Check the server if it stays unreachable."},
	{TransportReplaced, "transport replaced", "An open connection made no progress; pooled connections to the server are not used again.", "Check the network between entry host and server if it repeats."},
	{ServerTaskBusy, "server task busy", "New host data for a backend server could not be delivered, because the mailbox of its task is full; it is sent again with the next host list.", "Nothing unless it repeats."},
}
