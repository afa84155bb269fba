package bench

import (
	"fmt"
	"io"
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/contest"
	"balsamwharf.example/balsamwharf/internal/trial"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	detections = 40
	contests   = 3
	missed     = time.Hour
	work       = 25 * time.Millisecond
)

// user is one of the users' sizes of today: the service that matters most.
type user struct {
	name    string
	targets int
	slots   units.Slots
	daemons int
}

// printRatios compares the daemons' decisions with a plain proxy's in one run:
// round robin, five errors in a row, and a part of each limit on each daemon.
func printRatios(w io.Writer) {
	for _, u := range []user{
		{name: "Andrade payments", targets: 12, slots: 3, daemons: 27},
		{name: "Padippura booking", targets: 8, slots: 4, daemons: 24},
	} {
		fmt.Fprintf(w, "%s: %d targets with %d slots, %d daemons\n", u.name, u.targets, u.slots, u.daemons)
		printDetection(w, u)
		printFairness(w, u)
	}
	fmt.Fprintln(w, "The model of fairness leaves out the network, borrowing's messages and losses, failing targets,")
	fmt.Fprintln(w, "retries and late load reports; that of detection leaves out permits, probes and the floor.")
}

func printDetection(w io.Writer, u user) {
	for _, f := range []struct {
		name  string
		fault trial.Fault
	}{
		{"30% errors", trial.Errs{Share: 0.3}},
		{"5x slow", trial.Slow{Factor: 5}},
		{"hangs", trial.Hangs{}},
		{"one route of ten", trial.Route{}},
		{"flaps", trial.Flaps{Period: 10 * time.Second}},
	} {
		var ours, plain []time.Duration
		wrong, plainWrong := 0, 0
		for seed := range uint64(detections) {
			r := trial.Run(trial.Plan{
				Seed: seed, Targets: u.targets, Rate: 20, Typical: 50 * time.Millisecond, Spread: 0.5,
				Fault: f.fault, At: 25 * time.Second, Until: 45 * time.Second,
			})
			ours, plain = append(ours, found(r.Sick)), append(plain, found(r.Naive))
			wrong, plainWrong = wrong+r.Wrong, plainWrong+r.NaiveWrong
		}
		fmt.Fprintf(w, "  detection, %-16s median %s, plain %s; wrong ejections %d, plain %d\n",
			f.name, shown(ours), shown(plain), wrong, plainWrong)
	}
}

func found(d time.Duration) time.Duration {
	if d < 0 {
		return missed
	}
	return d
}

// shown is the median, or that most runs missed the fault.
func shown(times []time.Duration) string {
	slices.Sort(times)
	median := times[len(times)/2]
	if median == missed {
		return "not within 20s"
	}
	return median.Round(10 * time.Millisecond).String()
}

// printFairness lets one of eight accounts send ten times its rate. The rates
// together are 1.3 times what the targets can do, of which 0.6 is used.
func printFairness(w io.Writer, u user) {
	const ordered = 1.3
	capacity := float64(u.targets) * float64(u.slots) / work.Seconds()
	var rates []units.Rate
	for _, part := range []float64{120, 80, 30, 30, 20, 20, 10, 10} {
		rates = append(rates, units.Rate(part/320*ordered*capacity))
	}
	worst, plainWorst := 1.0, 1.0
	var ours, plain contest.Result
	for seed := range uint64(contests) {
		p := contest.Plan{
			Seed: seed, Targets: u.targets, Slots: u.slots, Work: work, Daemons: u.daemons,
			Rates: rates, Usual: 0.6, Surging: 1, Surge: 10, Deadline: time.Second, Until: 30 * time.Second,
		}
		a, b := contest.Run(p, contest.Fair{}), contest.Run(p, contest.Plain{})
		worst, plainWorst = min(worst, a.Worst), min(plainWorst, b.Worst)
		ours.Within, ours.Refused, ours.Late = ours.Within+a.Within, ours.Refused+a.Refused, ours.Late+a.Late
		plain.Within, plain.Refused, plain.Late = plain.Within+b.Within, plain.Refused+b.Refused, plain.Late+b.Late
	}
	fmt.Fprintf(w, "  worst-served account, in time: %.2f%%, plain %.2f%%\n", worst*100, plainWorst*100)
	fmt.Fprintf(w, "  refused within the rate: %d of %d, plain %d of %d; late: %d, plain %d\n",
		ours.Refused, ours.Within, plain.Refused, plain.Within, ours.Late, plain.Late)
}
