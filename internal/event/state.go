package event

// Events 300 to 399: log service and shared settings.
var (
	LogAway   = define(300, "away", "The platform's log service did not answer.")
	RecordBad = define(301, "bad", "A record of the log could not be read and was passed over.")
)
