package eventcode

// Events of the configuration, 1400 to 1499.
const (
	ConfigNotRead     Code = 1401
	ConfigUndecodable Code = 1402
	ConfigInForce     Code = 1403
	// ConfigSnapshotUnusable and ConfigSnapshotNotWritten are about the snapshot in
	// the object store.
	ConfigSnapshotUnusable   Code = 1404
	ConfigSnapshotNotWritten Code = 1405
)

var configEvents = []Entry{
	{ConfigNotRead, "configuration not read", "Neither the table service nor a peer answered; the current configuration stays in force. Logged once for each outage.", "Check the platform if it stays unreachable."},
	{ConfigUndecodable, "revision undecodable", "A revision in the table cannot be decoded; later ones are not applied.", "Upgrade this entry host, or repair the row."},
	{ConfigInForce, "configuration in force", "A newer revision is in force on this entry host.", "Nothing."},
	{ConfigSnapshotUnusable, "snapshot unusable", "The snapshot in the object store cannot be decoded; all revisions are read instead.", "Upgrade this entry host, or wait for the next snapshot."},
	{ConfigSnapshotNotWritten, "snapshot not written", "The object store did not accept a snapshot; a cold start reads more revisions.", "Check the platform if it repeats."},
}
