package message

import "balsamwharf.example/balsamwharf/internal/burn"

// TallyQuery asks for a daemon's counts of good and bad requests.
type TallyQuery struct{}

// TallyReply answers a Count.
type TallyReply struct {
	Tally burn.Tally `cbor:"1,keyasint"`
}

func (TallyQuery) isMessage() {}
func (TallyReply) isMessage() {}
