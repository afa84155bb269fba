package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/loan"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Borrow requests tokens of a client account from a quota leader and returns unused
// ones.
type Borrow struct {
	Account ids.Account
	Request loan.Request `cbor:"Question"`
}

// Lent answers a Borrow.
type Lent struct {
	// IsLeader is false if the answering daemon has no share of the account or may not
	// lend.
	IsLeader bool `cbor:"Holds"`
	Amount   units.Tokens
	// Wait is the time after which another request is worth sending.
	Wait time.Duration
}

func (Borrow) isMessage() {}
func (Lent) isMessage()   {}
