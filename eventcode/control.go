package eventcode

// Events of leases, orders and version moves, 1800 to 1899.
var controlEvents []Entry
