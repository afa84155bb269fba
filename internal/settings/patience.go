package settings

// Patience is the urgency of a route's requests: how long its callers accept to wait.
// It orders the queue of a client account.
type Patience string

// The values of a route's patience setting, most urgent first. Only PatienceShort allows hedged
// requests.
const (
	PatienceShort  Patience = "short"
	PatienceNormal Patience = "normal"
	PatienceLong   Patience = "long"
)

// Replay says which requests of a route are idempotent, so that they may be sent more
// than once.
type Replay string

// The values of a route's replay setting.
const (
	// ReplayByMethod treats GET, HEAD, OPTIONS, PUT and DELETE as idempotent.
	ReplayByMethod Replay = "method"
	ReplayAlways   Replay = "always"
	ReplayNever    Replay = "never"
)
