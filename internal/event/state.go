package event

// Events 300 to 399: log service and shared settings.
var (
	LogUnavailable = define(300, "away", "The platform's log service did not answer.")
	RecordInvalid  = define(301, "bad", "A record of the log could not be decoded and was skipped.")
	LogGap         = define(302, "gap", "Records of the log expired before this daemon read them; it looks for a snapshot.")
	StateLoaded    = define(303, "loaded", "The daemon loaded a snapshot of the settings, from the log or from a peer.")
	SnapshotMade   = define(304, "snapshot", "The daemon wrote a snapshot of all settings to the log.")
	SnapshotFailed = define(305, "unwritten", "A snapshot could not be written; another daemon or a later attempt writes it.")
	LogBehind      = define(306, "behind", "A reply of the log ends before records that were already read; it is ignored.")
	AppendFailed   = define(307, "append", "The log service did not confirm an operator's edit; the daemon determines whether it was applied.")
)
