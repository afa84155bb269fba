// Package claim finds the daemon that a message claims as its sender.
//
// # Usage
//
//	if name, ok := claim.Sender(m); ok && name != from {
//		// refuse the message
//	}
//
// Gossip about members claims no sender, since every daemon forwards the states that
// other daemons have announced.
package claim

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
)

// Sender returns the only daemon that may send the message. It returns false for a
// message that any daemon may send.
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
