package eventcode

// Events of the platform clients, 1100 to 1199.
const (
	HostListReachability Code = 1101
)

var platformEvents = []Entry{
	{HostListReachability, "host list reachability", "The platform's host list became unreachable or reachable again; the last list stays in use.", "Check the platform if it stays unreachable."},
}
