package message

import (
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/transfer"
)

// Handover sends shares that a quota leader has released.
type Handover struct {
	// To is the process that the shares are for; any other process ignores them.
	To     roster.Process
	Shares []transfer.ReleasedShare `cbor:"Notes"`
}

// HandedOver answers a Handover.
type HandedOver struct{}

func (Handover) isMessage()   {}
func (HandedOver) isMessage() {}
