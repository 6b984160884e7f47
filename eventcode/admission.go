package eventcode

// Events of admission, 1600 to 1699.
var admissionEvents []Entry
