package event

// Events 500 to 599: membership.
var (
	DaemonUnreachable = define(500, "unreachable", "Another daemon is not reachable by its peers; its targets are avoided.")
)
