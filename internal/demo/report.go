package demo

import (
	"fmt"
	"text/tabwriter"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/ledger"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// withdrawLimit is the time after which a withdrawn key must be dead everywhere.
const withdrawLimit = 4 * time.Second

// promise is one line of the report's second table.
type promise struct {
	text   string
	broken int
	detail string
}

// report prints the summary and returns whether every promise held.
func (d *Demo) report() bool {
	d.measures()
	kept := true
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\npromise\theld\t")
	for _, p := range d.promises() {
		held := "yes"
		if p.broken > 0 {
			held = fmt.Sprintf("NO, %d times: %s", p.broken, p.detail)
			kept = false
		}
		fmt.Fprintf(w, "%s\t%s\t\n", p.text, held)
	}
	_ = w.Flush()
	return kept
}

// measures prints the users' four measures.
func (d *Demo) measures() {
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nmeasure\tvalue\t")
	fmt.Fprintf(w, "time to detect the failing backend server\t%s\t\n", d.detection())
	fmt.Fprintf(w, "healthy backend servers ejected by mistake\t%d\t\n", d.marks.wrongEject)
	worst, success := d.worst()
	fmt.Fprintf(w, "worst-served client account within its rate\t%s, %.2f%% answered\t\n", worst, 100*success)
	refused, total := d.wrongful()
	fmt.Fprintf(w, "requests refused although within rate\t%d of %d (%.3f%%)\t\n", refused, total, 100*float64(refused)/float64(max(total, 1)))
	within := d.ledger.Where(func(l ledger.Line) bool { return withinRate(l) && !d.surgingThen(l) })
	fmt.Fprintf(w, "time of requests within rate, p50 and p99\t%s, %s\t\n",
		ledger.Quantile(within, 0.5).Round(time.Millisecond), ledger.Quantile(within, 0.99).Round(time.Millisecond))
}

func (d *Demo) detection() string {
	switch {
	case d.options.Fault == "none":
		return "no fault was switched on"
	case d.marks.ejected == 0:
		return "not detected"
	default:
		return (d.marks.ejected - d.marks.fault).Round(time.Millisecond).String()
	}
}

func withinRate(l ledger.Line) bool { return !l.Over && !l.Withdrawn }

// worst returns the client account with the smallest share of answers. The
// surging account is left out while it surges.
func (d *Demo) worst() (ids.Account, float64) {
	var worst ids.Account
	least := 2.0
	for _, a := range d.scene.accounts {
		id := ids.AccountOf(d.scene.team, a.name)
		lines := d.ledger.Where(func(l ledger.Line) bool { return l.Account == id && withinRate(l) && !d.surgingThen(l) })
		if s := ledger.Success(lines); s < least {
			worst, least = id, s
		}
	}
	return worst, least
}

// surgingThen reports whether the line's account was over its rate at that time.
func (d *Demo) surgingThen(l ledger.Line) bool {
	return l.Account == d.scene.surging() && l.Sent >= d.at(surgeAt)
}

// wrongful counts the refusals for rate of accounts that were within theirs.
func (d *Demo) wrongful() (int, int) {
	lines := d.ledger.Where(func(l ledger.Line) bool { return withinRate(l) && !d.surgingThen(l) })
	refused := 0
	for _, l := range lines {
		if l.Verdict == verdict.Unrun {
			refused++
		}
	}
	return refused, len(lines)
}

// promises checks what must always hold.
func (d *Demo) promises() []promise {
	runs := map[string]int{}
	keys := 0
	var asserted, broken int64
	for _, daemon := range d.fleet.Daemons {
		for _, name := range daemon.Standin.Names() {
			runs[name] += daemon.Standin.Runs(name)
		}
		keys += daemon.Standin.KeysSeen()
		asserted += daemon.App.Invariant().Checks()
		broken += daemon.App.Invariant().Broken()
	}
	var twice, unrun, crossed, exceeded promise
	twice.text = "a non-idempotent request runs at most once"
	unrun.text = "a refusal that says a request did not run is true"
	crossed.text = "a caller receives the whole answer to its own request"
	exceeded.text = "no client account gets more than its rate and burst"
	for _, b := range d.ledger.Breaches(d.scene.limits(), runs) {
		switch b := b.(type) {
		case ledger.Twice:
			twice.add(b)
		case ledger.RanUnrun:
			unrun.add(b)
		case ledger.Crossed:
			crossed.add(b)
		case ledger.Exceeded:
			exceeded.add(b)
		}
	}
	return []promise{
		twice, unrun, crossed, exceeded, d.withdrawnKeyDead(),
		{text: "no backend server sees a key", broken: keys, detail: "a backend server got an Authorization header"},
		{text: fmt.Sprintf("assertions inside the daemons (%d checked)", asserted), broken: int(broken), detail: "see the log with --verbose"},
	}
}

func (p *promise) add(b ledger.Breach) {
	p.broken++
	p.detail = b.String()
}

// withdrawnKeyDead checks that the withdrawn key was refused in time.
func (d *Demo) withdrawnKeyDead() promise {
	p := promise{text: "a withdrawn key stops working within 4 s"}
	if d.marks.withdrawn == 0 {
		p.text += " (not tried in this run)"
		return p
	}
	for _, l := range d.ledger.Where(func(l ledger.Line) bool { return l.Withdrawn && l.Sent > d.marks.withdrawn+withdrawLimit }) {
		if l.Verdict != verdict.Unrun {
			p.broken++
			p.detail = "request " + l.Request + " was served"
		}
	}
	return p
}
