package eventcode

// Events of the configuration, 1400 to 1499.
const (
	ConfigNotRead     Code = 1401
	ConfigUndecodable Code = 1402
	ConfigInForce     Code = 1403
)

var configEvents = []Entry{
	{ConfigNotRead, "configuration not read", "The table service did not answer; the configuration in force stays.", "Check the platform if it stays unreachable."},
	{ConfigUndecodable, "revision undecodable", "A revision in the table cannot be decoded; later ones are not applied.", "Upgrade this entry host, or repair the row."},
	{ConfigInForce, "configuration in force", "A newer revision is in force on this entry host.", "Nothing."},
}
