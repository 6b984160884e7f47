package eventcode

// Events of the event journal, 2000 to 2099.
var journalEvents []Entry
