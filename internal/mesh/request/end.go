package request

import "errors"

// Reasons why the work on a request is cancelled, as causes of its context. Their texts
// are sent to callers.
var (
	ErrCallerLeft     = errors.New("the caller left before the answer")
	ErrDaemonStopping = errors.New("the daemon ended before the answer")
)
