package eventcode

// Events of the operator API, 1900 to 1999.
var operatorEvents []Entry
