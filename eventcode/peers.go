package eventcode

// Events of the links between entry hosts, 1700 to 1799.
const (
	PeerRefused  Code = 1701
	FactTooLarge Code = 1702
)

var peerEvents = []Entry{
	{PeerRefused, "peer refused", "A connection to the peer address did not prove that it knows the shared secret.", "Set the same --peer-secret on all entry hosts; look for unknown hosts on the network."},
	{FactTooLarge, "fact too large", "A fact for other entry hosts was larger than the limit and was not sent.", "Report it with the log line."},
}
