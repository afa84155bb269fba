package message

import "balsamwharf.example/balsamwharf/internal/burn"

// Count asks for a daemon's counts of good and bad requests.
type Count struct{}

// Counted answers a Count.
type Counted struct {
	Tally burn.Tally `cbor:"1,keyasint"`
}

func (Count) isMessage()   {}
func (Counted) isMessage() {}
