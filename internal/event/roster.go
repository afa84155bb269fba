package event

// Events 340 to 349: rosters.
var (
	RosterProposed       = define(340, "roster", "The daemon proposed a change of the roster.")
	RosterProposalFailed = define(341, "unsaid", "A change of the roster could not be proposed. The daemon retries.")
)
