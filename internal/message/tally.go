package message

import "balsamwharf.example/balsamwharf/internal/burn"

// TallyQuery requests a daemon's counts of good and bad requests.
type TallyQuery struct{}

// TallyReply answers a TallyQuery.
type TallyReply struct {
	Tally burn.Tally `cbor:"1,keyasint"`
}

func (TallyQuery) isMessage() {}
func (TallyReply) isMessage() {}
