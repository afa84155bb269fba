package request

import "errors"

// Reasons why the work on a request is given up, as causes of its context.
var (
	ErrCallerLeft     = errors.New("the caller left before the answer")
	ErrDaemonStopping = errors.New("the daemon ended before the answer")
)
