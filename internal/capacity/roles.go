package capacity

import "balsamwharf.example/balsamwharf/internal/slopes"

// role is what one role costs a daemon on top of the others.
type role struct {
	name      string
	state     string
	messages  float64 // a second
	bytes     float64 // KB/s
	processor float64 // ms/s
	memory    float64 // MB
	mechanism string
}

// costs are the slopes with the rates that follow from the target.
type costs struct{ slopes.Slopes }

// exchanged is the part of a role that sends n questions a second, or answers
// them, with the size of both messages.
func (c costs) exchanged(r role, n, size float64) role {
	r.messages += 2 * n
	r.bytes += n * (size + c.Work.Wire) / kilobyte
	r.processor += n * c.Work.Call / 2 / microsPerMilli
	return r
}

// records is how many records of the log there are in a second.
func records() float64 { return (changesDay + rosters()) / secondsDay }

func rosters() float64 { return restartsDay * rostersPerRestart }

// small is the size of a question and its answer without records.
const small = 90.0

// rest is one daemon without requests: gossip and following the settings.
func (c costs) rest() role {
	r := role{
		name: "gossip peer and follower", state: "directory, settings, rosters",
		processor: c.at(func(p slopes.Rest) float64 { return p.Processor }) / microsPerMilli,
		bytes:     c.at(func(p slopes.Rest) float64 { return p.Bytes }) / kilobyte,
		memory:    c.memory(),
		mechanism: "ring of log2 peers; kept digests; one relay hop",
	}
	messages := c.at(func(p slopes.Rest) float64 { return p.Messages })
	r = c.exchanged(r, messages/2, 0)
	r.processor += (changesDay*c.Work.Change + rosters()*c.Work.Roster) / secondsDay / microsPerMilli
	return r
}

// at fits a line through the measured sizes and reads it at the target.
func (c costs) at(value func(slopes.Rest) float64) float64 {
	var n, x, y, xx, xy float64
	for _, p := range c.Rest {
		m, v := float64(p.Members), value(p)
		n, x, y, xx, xy = n+1, x+m, y+v, xx+m*m, xy+m*v
	}
	if n*xx == x*x {
		return 0
	}
	slope := (n*xy - x*y) / (n*xx - x*x)
	return (y-slope*x)/n + slope*daemons
}

// memory is the live heap of one daemon without connections to gatekeepers.
func (c costs) memory() float64 {
	m := c.Memory
	settings := routes*m.Route + accounts*(m.Account+keysPerAccount*m.Key)
	directory := daemons*m.Member + targets*m.Target
	// The measured state keeps eight rosters.
	const measuredRosters = 8
	rosters := daemons * m.Seat * rostersKept / measuredRosters
	return (m.Base + settings + directory + rosters) / megabyte
}

// each is one daemon's part of the peak.
const each = requestsPeak / daemons

func (c costs) roles() []role {
	perCentre := daemons / centres
	followers := (perCentre - readersPerCentre) / readersPerCentre
	rounds := settleTime / forceRound * records()
	held := accounts * holders / daemons
	perHeld := seatings * c.Work.Seating * rosters() / secondsDay / microsPerMilli
	notes := each * idempotent
	// Each daemon answers as many siblings as it asks.
	compares := 2 * learnAsked * targets / daemons / learnTime
	entry := role{
		name: "entry, connections", state: "connections to gatekeepers",
		memory:    entryPeers * c.Memory.Link / megabyte,
		processor: c.opened() * c.Work.Resume / 2 / microsPerMilli,
		mechanism: "subsets of targets that lie on the same daemons",
	}
	gate := role{
		name: "gatekeeper, siblings", state: "detectors",
		mechanism: "the same siblings each time, over kept connections",
	}
	return []role{
		c.exchanged(role{name: "relay reader", state: "recent records", mechanism: "readers by the size of the data centre, a second hop (not built)"}, followers/pullTime, small),
		c.exchanged(role{name: "witness", state: "none", mechanism: "two askers in a data centre; batches of changes"}, centres*askersPerCentre*rounds, small),
		c.exchanged(role{name: "asker", state: "none", mechanism: "the same"}, witnesses*rounds+perCentre/askersPerCentre*records()*settleTime, small),
		{name: "holder", state: "shares", processor: held * perHeld, memory: held * c.Memory.Held / megabyte, mechanism: "rendezvous hashing, places kept for each roster"},
		{name: "guard", state: "notes", processor: 2 * notes * keyMillis, memory: min(guardNotes, 2*notes*guardWindow) * c.Memory.Note / megabyte, mechanism: "rendezvous hashing; only rosters that touch a pair are looked through"},
		c.exchanged(role{name: "steward of permits", state: "permits out", mechanism: "traffic only while a target is out"}, services*oneOut/daemons, small),
		c.exchanged(gate, compares, small),
		c.exchanged(role{name: "operators' client", state: "none", mechanism: "a report a minute: one daemon asks all others, 32 at a time"}, burnCopies/reportTime, small),
		entry,
	}
}

// oneOut is the questions a second of a service with one target out: it renews.
const oneOut = 1.0
