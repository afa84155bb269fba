package message

import (
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/transfer"
)

// Handover gives balances that the sender has let go to the receiver.
type Handover struct {
	// To is the run that the balances are for; another run ignores them.
	To     roster.Process
	Shares []transfer.ReleasedShare `cbor:"Notes"`
}

// HandedOver answers a Handover.
type HandedOver struct{}

func (Handover) isMessage()   {}
func (HandedOver) isMessage() {}
