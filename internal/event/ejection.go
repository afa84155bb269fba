package event

// Events 400 to 499: ejection of targets.
var (
	TargetEjected    = define(400, "ejected", "A target failed more than its siblings and was ejected.")
	TargetReadmitted = define(401, "readmitted", "An ejected target was readmitted.")
	FloorReached     = define(402, "floor", "A failing target was not ejected, because its service is at its floor.")
	PermitMissing    = define(403, "permit", "A failing target was not ejected, because no steward granted a permit.")
	TargetHalfOpen   = define(404, "trial", "An ejected target answered a probe and receives a few probe requests.")
	HalfOpenFailed   = define(405, "relapse", "A target failed its probe requests and stays ejected for longer.")
)
