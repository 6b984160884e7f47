package eventcode

// Events of the recovery of generations, 1310 to 1349, and of resume cursors,
// 1550 to 1599.
const (
	ContinuationStarted Code = 1311
	StreamResumed       Code = 1312
	ResumedByCursor     Code = 1313
	ResumeDiverged      Code = 1314
	VersionGone         Code = 1315
	SecondAttempt       Code = 1316
	CursorKeyRandom     Code = 1551
)

var recoveryEvents = []Entry{
	{ContinuationStarted, "continuation started", "A generation continues on another server after an attempt was lost.", "Nothing; the event before it names the cause."},
	{StreamResumed, "stream resumed", "A lost connection to an engine was replaced, and the engine's stream continues on the new one.", "Check the network between entry host and server if it repeats."},
	{ResumedByCursor, "resumed by cursor", "A caller reconnected with Last-Event-ID, and its answer continues from this entry host.", "Nothing unless it repeats; then check whether an entry host was lost."},
	{ResumeDiverged, "resume diverged", "A generation was repeated and differs from what its caller received; it ended with an error.", "Check that the engines are deterministic for a seed."},
	{VersionGone, "version gone", "No server of a generation's version was free in time; it ended with an error.", "Keep servers of a version until its generations have finished."},
	{SecondAttempt, "second attempt", "An attempt delivered no token for too long, so a second one was started beside it; the first to deliver a token continues.", "Nothing unless it is frequent; then turn resume_eager off."},
	{CursorKeyRandom, "cursor key is random", "No cursor keys are set, so callers can only reconnect to this entry host.", "Set the same --cursor-keys on all entry hosts."},
}
