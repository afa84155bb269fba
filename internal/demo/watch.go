package demo

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/ledger"
	"balsamwharf.example/balsamwharf/internal/member"
)

// watchPeriod is how often the demo looks at what the fleet has ejected.
const watchPeriod = 20 * time.Millisecond

// watch notes when the failing target is ejected, and ejections of others.
func (d *Demo) watch(ctx context.Context, failing *fleet.Daemon) {
	wrong := map[ids.Target]bool{}
	for d.wait(ctx, d.load.Elapsed()+watchPeriod) == nil {
		for _, t := range d.ejected() {
			if t.ID == failing.Standin.ID {
				d.noteEjected(t)
				continue
			}
			if !wrong[t.ID] {
				wrong[t.ID] = true
				d.marks.wrongEject++
				d.say("healthy backend server %s was ejected", t.ID)
			}
		}
	}
}

func (d *Demo) noteEjected(t member.Target) {
	if d.marks.ejected != 0 {
		return
	}
	d.marks.ejected = d.load.Elapsed()
	d.say("backend server %s is ejected", t.ID)
}

// ejected returns the targets that the daemons have ejected.
func (d *Demo) ejected() []member.Target {
	var list []member.Target
	for _, daemon := range d.fleet.Daemons {
		for _, t := range daemon.App.LocalMember().Targets {
			if t.Ejected {
				list = append(list, t)
			}
		}
	}
	return list
}

// progress prints a line while the run goes on.
func (d *Demo) progress(ctx context.Context) {
	seen := 0
	for d.wait(ctx, d.load.Elapsed()+progressPeriod) == nil {
		lines := d.ledger.Lines()
		recent := d.ledger.Where(func(l ledger.Line) bool {
			return withinRate(l) && !d.surgingThen(l) && l.Done > d.load.Elapsed()-progressPeriod
		})
		d.say("%4d requests, %5.1f%% of those within rate answered, p99 %s", len(lines)-seen, 100*ledger.Success(recent), ledger.Quantile(recent, 0.99).Round(time.Millisecond))
		seen = len(lines)
	}
}
