package event

// Events 500 to 599: membership.
var (
	DaemonLost = define(500, "unreachable", "Another daemon can't be reached by its peers; its targets are avoided.")
)
