package gossip

import (
	"balsamwharf.example/balsamwharf/internal/digest"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
)

// maxUpdates bounds how many members one message carries.
const maxUpdates = 256

// announcement returns the updates since the cursor and the next cursor.
func (g *Gossip) announcement(cursor uint64) (message.Announce, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names, next, _ := g.updates.Since(cursor)
	if len(names) > maxUpdates {
		names = names[len(names)-maxUpdates:] // the comparison of digests transfers the rest
	}
	var a message.Announce
	for _, id := range names {
		if m, ok := g.directory.Member(id); ok {
			a.Members = append(a.Members, m)
		}
		if d, ok := g.suspects[id]; ok && d.Active() {
			a.Suspects = append(a.Suspects, d.revision)
		}
	}
	return a, next
}

// HandleAnnounce merges another daemon's updates and returns the descriptions that
// it requested. If it sent a digest that differs, the reply lists the known
// revisions of one data centre.
func (g *Gossip) HandleAnnounce(a message.Announce) message.AnnounceReply {
	g.merge(a.Members, a.Suspects)
	reply := message.AnnounceReply{Suspects: g.evictedRevisions(a.Members)}
	for _, id := range a.Requested {
		if m, ok := g.directory.Member(id); ok && m.Incarnation != 0 {
			reply.Members = append(reply.Members, m)
		}
	}
	if a.Digest == nil {
		return reply
	}
	if centres := g.digest().Diff(a.Digest); len(centres) > 0 {
		reply.Centre = centres[g.randomIndex(len(centres))]
		for _, m := range g.inCentre(reply.Centre) {
			reply.Revisions = append(reply.Revisions, m.Revision())
		}
	}
	return reply
}

// mergeReply merges the updates in a peer's reply.
func (g *Gossip) mergeReply(n message.AnnounceReply) { g.merge(n.Members, n.Suspects) }

// merge merges updates and enqueues what is new for the other peers.
func (g *Gossip) merge(members []member.Member, suspects []member.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		if m.Daemon == g.self() {
			g.supersede(m.Revision())
			continue
		}
		if m.Incarnation != 0 && g.directory.Put(m) {
			delete(g.suspects, m.Daemon)
			g.enqueueUpdate(m.Daemon)
			g.requestArrange()
		}
	}
	for _, a := range suspects {
		g.handleSuspicion(a)
	}
}

// requestArrange wakes run to arrange the tasks.
func (g *Gossip) requestArrange() {
	select {
	case g.memberAdded <- struct{}{}:
	default:
	}
}

// supersede renews the own description when another daemon holds a newer one that
// is not of this process, as after a restart with a clock that went back. The
// caller holds the lock.
func (g *Gossip) supersede(a member.Revision) {
	if !g.own.Revision().Precedes(a) {
		return
	}
	g.own.Incarnation = a.Incarnation + 1
	g.own.Version++
	g.publishOwn()
}

// evictedRevisions returns the revisions among the members that this daemon has
// evicted, so that the sender suspects them. A sender that is itself suspected is
// not informed here: a daemon that can send but can't be reached must not be able
// to end the suspicion.
func (g *Gossip) evictedRevisions(members []member.Member) []member.Revision {
	var list []member.Revision
	for _, m := range members {
		if g.directory.IsTombstoned(m.Revision()) {
			list = append(list, m.Revision())
		}
	}
	return list
}

// diff returns what the peer needs and what this daemon needs, from the revisions
// that the peer knows in one data centre.
func (g *Gossip) diff(n message.AnnounceReply) message.Announce {
	theirs := map[ids.Daemon]member.Revision{}
	for _, a := range n.Revisions {
		theirs[a.Daemon] = a
	}
	var a message.Announce
	for _, m := range g.inCentre(n.Centre) {
		if theirs[m.Daemon].Precedes(m.Revision()) && len(a.Members) < maxUpdates {
			a.Members = append(a.Members, m)
		}
	}
	for id, revision := range theirs {
		own, _ := g.directory.Member(id)
		if own.Revision().Precedes(revision) && !g.directory.IsTombstoned(revision) && len(a.Requested) < maxUpdates {
			a.Requested = append(a.Requested, id)
		}
	}
	return a
}

func (g *Gossip) digest() digest.Digest { return g.directory.Digest() }

// selfDescribed returns the members that have described themselves.
func (g *Gossip) selfDescribed() []member.Member {
	var list []member.Member
	for _, m := range g.directory.Members() {
		if m.Incarnation != 0 {
			list = append(list, m)
		}
	}
	return list
}

func (g *Gossip) inCentre(c ids.Centre) []member.Member {
	var list []member.Member
	for _, m := range g.selfDescribed() {
		if m.Centre == c {
			list = append(list, m)
		}
	}
	return list
}

func (g *Gossip) randomIndex(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.IntN(n)
}
