package metric

// Metrics of the ejection of failing targets.
var (
	Ejections      = define("ejections", "targets", "Targets of this VM that were ejected.")
	Readmissions   = define("readmissions", "targets", "Ejected targets of this VM that were readmitted.")
	PermitRefusals = define("refusals", "permits", "Ejection permits that stewards refused to this daemon.")
	Suspicion      = define("suspicion", "hundredths", "Highest statistic of the sequential tests of this VM's targets; 1800 is a suspicion.")
)
