package eventcode

// Events of leases, orders and version moves, 1800 to 1899.
const (
	LeaseAcquired    Code = 1801
	LeaseLost        Code = 1802
	LeaseUndecodable Code = 1803
	OrderSent        Code = 1811
	OrderRefused     Code = 1812
	MoveAdvanced     Code = 1821
	MoveDone         Code = 1822
	MoveWithdrawn    Code = 1823
	MoveNotCommitted Code = 1824
	VersionVetoed    Code = 1825
)

var controlEvents = []Entry{
	{LeaseAcquired, "lease taken", "This entry host took the lease of the service and controls it.", "Nothing."},
	{LeaseLost, "lease lost", "This entry host lost the lease of the service and stopped controlling it before another host may take the lease.", "Check the platform if it repeats."},
	{LeaseUndecodable, "lease undecodable", "The lease row of a service cannot be decoded; no host takes the lease.", "Upgrade this entry host, or repair the row."},
	{OrderSent, "order sent", "A backend server was sent an order to load or unload a version.", "Nothing."},
	{OrderRefused, "order refused", "A backend server refused an order or did not answer; the order is repeated.", "Check the server if it repeats."},
	{MoveAdvanced, "move advanced", "A version move gave more traffic to the new version.", "Nothing."},
	{MoveDone, "move done", "A version move ended with all traffic on the new version.", "Nothing."},
	{MoveWithdrawn, "move withdrawn", "A version move ended with all traffic on the old version.", "Read the reason and the evidence in the move."},
	{MoveNotCommitted, "move not committed", "A step of a version move could not be committed; it is decided again.", "Check the platform if it repeats."},
	{VersionVetoed, "version vetoed", "This entry host sends no new requests to a new version because of the evidence.", "Read the cause; compare the versions."},
}
