package eventcode

// Events of the links between entry hosts, 1700 to 1799.
var peerEvents []Entry
