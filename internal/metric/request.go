package metric

// Metrics of requests at this entry daemon.
var (
	RequestsRan       = define("ran", "requests", "Requests that a backend server answered.")
	RequestsUncertain = define("maybe", "requests", "Requests that failed and may have run.")
	RequestsUnrun     = define("unrun", "requests", "Requests that were refused and did not run.")
	Retries           = define("retries", "requests", "Retries of requests, each a further attempt.")
	Hedges            = define("hedges", "requests", "Hedged attempts: second attempts sent while the first had not failed.")
)

// Metrics of rates and bursts.
var (
	Admitted      = define("admitted", "requests", "Requests that consumed a token of their client account at this daemon.")
	TokenRequests = define("questions", "messages", "Requests for tokens that this daemon sent to quota leaders.")
)

// Metrics of the gatekeeper.
var (
	Queued   = define("queued", "requests", "Requests that are queued for a slot of a target of this VM.")
	InFlight = define("flight", "requests", "Requests in flight at the targets of this VM.")
	Sheds    = define("sheds", "requests", "Requests that got no slot of a target: refused by the queue, or abandoned while they waited.")
)
