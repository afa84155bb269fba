package metric

// Metrics of the ejection of failing targets.
var (
	Ejections    = define("ejections", "targets", "Targets of this VM that were taken out of use.")
	Readmissions = define("readmissions", "targets", "Ejected targets of this VM that are in use again.")
	Refusals     = define("refusals", "permits", "Permits to eject that stewards refused this daemon.")
	Suspicion    = define("suspicion", "hundredths", "Highest statistic of the sequential tests of this VM's targets; 1800 is a suspicion.")
)
