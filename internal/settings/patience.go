package settings

// Patience says how long callers of a route are willing to wait.
type Patience string

// The patience of a route, in order of urgency.
const (
	Short  Patience = "short"
	Normal Patience = "normal"
	Long   Patience = "long"
)

// Replay says whether requests of a route may be sent twice.
type Replay string

// The values of a route's replay setting.
const (
	// ByMethod treats GET, HEAD, OPTIONS, PUT and DELETE as idempotent.
	ByMethod Replay = "method"
	Always   Replay = "always"
	Never    Replay = "never"
)
