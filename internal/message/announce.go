package message

import "balsamwharf.example/balsamwharf/internal/member"

// Announce tells what the sender knows of some members.
type Announce struct{ Members []member.Member }

// Noted answers an Announce with members that the receiver knows better.
type Noted struct{ Members []member.Member }

func (Announce) isMessage() {}
func (Noted) isMessage()    {}
