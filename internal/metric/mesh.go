package metric

// Metrics of daemons on a platform.
var (
	RequestsEnded      = define("ended", "requests", "Requests by route, status and whether they ran. Routes beyond the first 500 are counted together as other.")
	Limited            = define("limited", "requests", "Requests refused because their client account was over its rate.")
	RequestTime        = define("took", "milliseconds", "Time from the arrival of a request to its response or refusal.")
	Attempts           = define("attempts", "attempts", "Attempts of requests at targets by result: answered, failed, declined, unrun or lost.")
	BreakerOpen        = define("breaker", "state", "1 while the breaker of this VM's target is open, else 0.")
	RetryBudget        = define("repeats", "requests", "Retry budget: retries, requests that another target got before, that this gatekeeper still admits.")
	AccountsLed        = define("held", "accounts", "Client accounts of which this daemon is the quota leader.")
	AccountsOnFallback = define("alone", "accounts", "Client accounts for which this daemon uses the fallback share, an equal part of the limit, because the quota leader does not answer.")
	RequestBytes       = define("bodies", "bytes", "Memory that the bodies of requests take now.")
	RequestBytesMost   = define("bodiesmost", "bytes", "The most memory that the bodies of requests have taken.")
	AnswerBytes        = define("answers", "bytes", "Memory that the bodies of answers take now.")
	AnswerBytesMost    = define("answersmost", "bytes", "The most memory that the bodies of answers have taken.")
	Version            = define("version", "number", "Version of the applied configuration.")
	VersionAge         = define("age", "milliseconds", "Time since the current configuration was applied.")
	StoreCalls         = define("calls", "calls", "Calls to the platform's store by kind and result.")
	ReadingTopics      = define("reading", "topics", "Topics of the platform's store that this daemon reads for its data centre.")
	Fetches            = define("fetched", "calls", "Questions to other daemons for records of the store, by topic and result.")
	StoreOutage        = define("away", "milliseconds", "Time for which the platform's store has been unavailable.")
)
