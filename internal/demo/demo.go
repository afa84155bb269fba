// Package demo runs the main job on one machine: a fleet, callers, a failing
// backend server, a withdrawn key and a surge, and a summary at the end.
//
// # Usage
//
//	os.Exit(demo.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The exit code is 1 when a promise was broken.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/commandline"
	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ledger"
	"balsamwharf.example/balsamwharf/internal/standin"
	"balsamwharf.example/balsamwharf/internal/workload"
)

// Exit codes of the demo.
const (
	exitOK     = 0
	exitBroken = 1
)

// The course of the run, as shares of its length.
const (
	faultAt    = 0.15
	mendAt     = 0.45
	withdrawAt = 0.55
	surgeAt    = 0.65
	surgeEnd   = 0.85
	outageAt   = 0.25
	outageEnd  = 0.75
	restartAt  = 0.3
)

// progressPeriod is the time between two progress lines.
const progressPeriod = time.Second

// Demo is one run.
type Demo struct {
	options Options
	scene   scene
	fleet   *fleet.Fleet
	ledger  ledger.Ledger
	load    *workload.Workload
	out     io.Writer
	marks   marks
}

// marks are the times at which something happened, from the start of the run.
type marks struct {
	fault      time.Duration
	ejected    time.Duration
	mended     time.Duration
	withdrawn  time.Duration
	wrongEject int
}

// Main runs the demo and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o Options
	if code, done := commandline.Parse(&o, args, stdout, stderr); done {
		return int(code)
	}
	d := &Demo{options: o, out: stdout}
	if err := d.run(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitBroken
	}
	if !d.report() {
		return exitBroken
	}
	return exitOK
}

// run starts the fleet, lets the callers send and stops the fleet.
func (d *Demo) run() error {
	d.scene = sceneOf(d.options)
	logger := zap.NewNop()
	if d.options.Verbose {
		logger = zap.Must(zap.NewDevelopment())
	}
	d.scene.plan.Logger = logger
	fmt.Fprintf(d.out, "starting %d daemons in %d data centres\n", d.scene.daemons(), len(d.scene.plan.Centres))
	var err error
	if d.fleet, err = fleet.New(d.scene.plan); err != nil {
		return err
	}
	if err := d.scene.publish(d.fleet); err != nil {
		d.fleet.Close()
		return err
	}
	d.load = &workload.Workload{Ledger: &d.ledger, Seed: d.options.Seed}
	d.load.SetBases(d.bases(nil))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.load.Begin()
	script := make(chan error, 1)
	go func() { script <- d.script(ctx) }()
	go d.progress(ctx)
	d.load.Run(ctx, d.scene.sources(d.options.Length))
	err = <-script
	cancel()
	d.fleet.Close()
	return err
}

// at returns the time of a share of the run.
func (d *Demo) at(share float64) time.Duration {
	return time.Duration(share * float64(d.options.Length))
}

// script brings about the faults, one after the other.
func (d *Demo) script(ctx context.Context) error {
	if d.options.StoreOutage {
		go d.outage(ctx)
	}
	if d.options.Restart {
		go d.restart(ctx)
	}
	failing := d.scene.failing(d.fleet)
	if err := d.wait(ctx, d.at(faultAt)); err != nil {
		return nil
	}
	fault := d.scene.fault(d.options.Fault)
	failing.Standin.Set(fault)
	d.marks.fault = d.load.Elapsed()
	d.say("backend server %s fails: %s", failing.Standin.ID, d.options.Fault)
	go d.watch(ctx, failing)
	if err := d.wait(ctx, d.at(mendAt)); err != nil {
		return nil
	}
	failing.Standin.Set(standin.None{})
	d.marks.mended = d.load.Elapsed()
	d.say("backend server %s works again", failing.Standin.ID)
	if err := d.wait(ctx, d.at(withdrawAt)); err != nil {
		return nil
	}
	if !d.options.StoreOutage {
		if err := d.withdraw(); err != nil {
			return err
		}
	}
	if err := d.wait(ctx, d.at(surgeAt)); err != nil {
		return nil
	}
	d.say("client account %s sends 10 times its rate", d.scene.surging())
	return nil
}

// withdraw removes the second key of one account while its caller goes on.
func (d *Demo) withdraw() error {
	d.marks.withdrawn = d.load.Elapsed()
	d.say("a key of client account %s is withdrawn", d.scene.withdrawing())
	return d.fleet.Remove(d.scene.withdrawnKey())
}

// outage takes the log service away for a while.
func (d *Demo) outage(ctx context.Context) {
	if err := d.wait(ctx, d.at(outageAt)); err != nil {
		return
	}
	d.say("the log service is away")
	d.fleet.Log.SetAway(true)
	err := d.wait(ctx, d.at(outageEnd))
	d.fleet.Log.SetAway(false)
	if err == nil {
		d.say("the log service is back")
	}
}

// restart stops the last daemon and starts it again; callers turn to the others
// meanwhile.
func (d *Demo) restart(ctx context.Context) {
	if err := d.wait(ctx, d.at(restartAt)); err != nil {
		return
	}
	daemon := d.fleet.Daemons[len(d.fleet.Daemons)-1]
	d.load.SetBases(d.bases(daemon))
	d.say("daemon %s stops", daemon.ID)
	if err := d.fleet.Restart(daemon); err != nil {
		d.say("daemon %s did not start again: %v", daemon.ID, err)
		return
	}
	d.say("daemon %s runs again", daemon.ID)
	d.load.SetBases(d.bases(nil))
}

// bases returns the URLs of all daemons but one.
func (d *Demo) bases(but *fleet.Daemon) []string {
	var list []string
	for _, daemon := range d.fleet.Daemons {
		if daemon != but {
			list = append(list, daemon.Callers)
		}
	}
	return list
}

// wait returns when the run has lasted for the given time.
func (d *Demo) wait(ctx context.Context, until time.Duration) error {
	select {
	case <-time.After(until - d.load.Elapsed()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.1fs  %s\n", d.load.Elapsed().Seconds(), fmt.Sprintf(format, args...))
}
