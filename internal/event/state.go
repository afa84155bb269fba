package event

// Events 300 to 399: log service and shared settings.
var (
	LogAway        = define(300, "away", "The platform's log service did not answer.")
	RecordBad      = define(301, "bad", "A record of the log could not be read and was passed over.")
	LogGap         = define(302, "gap", "The log has expired records that this daemon had not read; it looks for a snapshot.")
	StateLoaded    = define(303, "loaded", "The daemon took over a snapshot of the settings, from the log or from a peer.")
	SnapshotMade   = define(304, "snapshot", "The daemon has written all settings to the log again.")
	SnapshotFailed = define(305, "unwritten", "A snapshot could not be written; another daemon or a later attempt makes it.")
	LogBehind      = define(306, "behind", "An answer of the log ends before records that were read already; it is not used.")
	AppendFailed   = define(307, "append", "The log service did not confirm an operator's edit; the daemon settles what became of it.")
)
