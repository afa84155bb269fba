package metric

// Metrics of the daemon as a whole.
var (
	Broken = define("broken", "failures", "Assertions inside the program that failed. Anything but 0 is a fault to report.")
	Known  = define("known", "daemons", "Daemons that this one knows and reaches through its peers.")
	Lost   = define("lost", "daemons", "Daemons that can't be reached by their peers.")
	Offset = define("offset", "records", "Offset of the last record of the log that was applied.")
)
