package event

// Events 400 to 499: ejection of targets.
var (
	TargetEjected    = define(400, "ejected", "A target failed next to its siblings and was taken out of use.")
	TargetReadmitted = define(401, "readmitted", "An ejected target is in use again.")
	FloorReached     = define(402, "floor", "A target fails but stays in use, because its service is at its floor.")
	PermitMissing    = define(403, "permit", "A target fails but stays in use, because no steward granted a permit.")
	TargetOnTrial    = define(404, "trial", "An ejected target answered a probe and gets a few requests.")
	TrialFailed      = define(405, "relapse", "A target failed its trial and stays out for longer.")
)
