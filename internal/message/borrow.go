package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/loan"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Borrow asks a holder for tokens of a client account and returns others.
type Borrow struct {
	Account ids.Account
	Request loan.Request `cbor:"Question"`
}

// Lent answers a Borrow.
type Lent struct {
	// IsLeader is false when the receiver holds no share of the account.
	IsLeader bool `cbor:"Holds"`
	Amount   units.Tokens
	// Wait is when it is worth asking again.
	Wait time.Duration
}

func (Borrow) isMessage() {}
func (Lent) isMessage()   {}
