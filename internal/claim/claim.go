// Package claim finds the daemon in whose name a message speaks.
//
// # Usage
//
//	if name, ok := claim.Of(m); ok && name != from {
//		// refuse the message
//	}
//
// News of members is no claim: every daemon passes on what others said of
// themselves.
package claim

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
)

// Sender returns the daemon that alone may send the message; it is false for a message
// that any daemon may send.
func Sender(m message.Message) (ids.Daemon, bool) {
	switch m := m.(type) {
	case message.Borrow:
		return m.Request.Borrower.Daemon, true
	case message.GuardBegin:
		return m.Attempt.Daemon, true
	case message.GuardEnd:
		return m.Attempt.Daemon, !m.Forwarded
	default:
		return "", false
	}
}
