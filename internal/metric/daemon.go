package metric

// Metrics of the daemon as a whole.
var (
	InvariantFailures  = define("broken", "failures", "Internal assertions that failed. Any value other than 0 is a fault to report.")
	ReachableDaemons   = define("known", "daemons", "Daemons that this daemon knows and that are reachable by their peers.")
	UnreachableDaemons = define("lost", "daemons", "Daemons that are not reachable by their peers.")
	Offset             = define("offset", "records", "Offset of the last log record that was applied.")
)
