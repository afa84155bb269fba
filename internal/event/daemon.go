package event

// Events 100 to 199: start, stop and settings of the daemon.
var (
	DaemonStarted     = define(100, "started", "The daemon started and serves callers.")
	DaemonStopping    = define(101, "stopping", "The daemon refuses new requests and finishes those in flight.")
	DaemonStopped     = define(102, "stopped", "The daemon has finished all requests and stopped.")
	ListenFailed      = define(103, "listen", "A listener failed; the daemon stops.")
	InvariantViolated = define(110, "invariant", "An internal assertion failed. Report it with the surrounding log lines.")
)

// Events 200 to 299: requests.
var (
	RequestRefused  = defineRequest(200, "refused", "A request was refused before it reached a backend server.")
	RequestFailed   = defineRequest(201, "failed", "A request failed after it may have reached a backend server.")
	AnswerTruncated = defineRequest(202, "cut", "A response ended early; the caller's connection was aborted.")
	KeyRefused      = defineRequest(203, "key", "A request had no valid key. The key itself is never logged.")
	PeerRefused     = define(204, "peer", "A connection between daemons was refused because its certificate does not match.")
	PeerLost        = define(205, "lost", "A connection to another daemon failed.")
	ClaimRefused    = define(206, "claim", "A daemon sent a message in the name of another; the message was refused.")
	TargetExpired   = define(210, "expired", "A backend server did not renew its announcement; it gets no new requests.")
)
