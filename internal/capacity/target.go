package capacity

import "time"

// The users' target.
const (
	daemons      = 2000.0
	targets      = 26000.0
	services     = 690.0
	requestsPeak = 550000.0 // a second
	routes       = 35000.0
	accounts     = 55000.0
	centres      = 13.0
	changesDay   = 4000.0
	restartsDay  = 7100.0
	secondsDay   = 86400.0
)

// The budgets of one daemon for control.
const (
	budgetProcessor = 14.0  // ms/s, 1.4% of a core
	budgetMemory    = 128.0 // MB
	budgetBytes     = 29.0  // KB/s
	budgetForce     = 4.0   // s
)

// Assumptions that the users' target leaves open.
const (
	keysPerAccount = 2.0
	// idempotent is the share of requests with an idempotency key.
	idempotent = 0.1
	// rostersPerRestart counts a daemon's leaving and its joining.
	rostersPerRestart = 2.0
)

// Constants of the code that the formulas use.
const (
	readersPerCentre = 2.0
	askersPerCentre  = 2.0
	witnesses        = 7.0
	holders          = 2.0
	rostersKept      = 128.0 // by the guard, for the time of a key's window
	guardWindow      = 600.0
	guardNotes       = 50000.0
	pullTime         = 0.6
	forceRound       = 0.25
	settleTime       = 2.1
	learnTime        = 10.0
	learnAsked       = 5.0
	guardSteps       = 4.0
	// seatings is how often a holder finds an account's share after a roster.
	seatings = 3.0
	idleTime = 30 * time.Second
	// entryPeers is the daemons that one entry daemon speaks to with subsets of
	// all services.
	entryPeers = 895.0
	// keyMillis is the time in which a guard finds the pairs of a new key.
	keyMillis = 0.12
	// burnCopies is the daemons that a report on burn asks.
	burnCopies = daemons
	// reportTime is the seconds between two reports on burn.
	reportTime = 60.0
)

const (
	microsPerMilli = 1000.0
	microsPerSec   = 1e6
	kilobyte       = 1000.0
	megabyte       = 1e6
)
