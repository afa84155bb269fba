package event

// Events 600 to 699: operators.
var (
	CredentialRefused = define(600, "credential", "An operator's call had no credential or one that covers no team. The credential itself is never logged.")
	EditDenied        = define(602, "denied", "An operator's edit was denied, because the credential does not cover its path.")
	LevelChanged      = define(601, "level", "An operator changed the log level.")
)
