// Command 5 is the program of case 5: a backend server that started again after its VM's clock
// had jumped back reports that it drains, gets that acknowledged, and is sent requests all the
// same.
package main

import (
	"fmt"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/review/stage"
)

const (
	fleet = 7
	// The time of day of one VM jumps back by jump from jumpAt on.
	jumpAt = 1500 * time.Millisecond
	jump   = 2400 * time.Millisecond
	// Its backend server crashes and is back after down.
	crashAt = 1700 * time.Millisecond
	down    = 500 * time.Millisecond
	// The clock is right again at jumpEnd.
	jumpEnd = 7500 * time.Millisecond
	drainAt = 14 * time.Second
	// leaveAt is when the backend server says that it ends. Until then it serves what it gets.
	leaveAt   = 20 * time.Second
	callEvery = 50 * time.Millisecond
)

func main() {
	s := stage.Open("review/5")
	var vms []*stage.VM
	for i := range fleet {
		vms = append(vms, s.AddVM(fmt.Sprintf("vm%d", i+1), "zone-a", "quotes"))
	}
	s.Publish(stage.Document(1, []string{"key"}, "quotes"))
	s.BootAll()
	target := vms[0].Target

	if stage.Trouble() {
		s.Record.Line("vm1: the time of day is back by %s from %s to %s", jump, jumpAt, jumpEnd)
		s.At(crashAt)
		target.Crash()
		s.At(crashAt + down)
		s.Check(target.Start(-jump))
	}

	var callers sync.WaitGroup
	for _, vm := range vms {
		callers.Go(func() {
			for i := 0; s.Record.Now() < leaveAt; i++ {
				vm.Send(stage.Call{Method: "GET", Target: "/quotes/x", ID: fmt.Sprintf("%s-%d", vm.Name, i), Key: "key"})
				time.Sleep(callEvery)
			}
		})
	}
	s.At(drainAt)
	status, acknowledged := target.Drain()
	if status/100 != 2 {
		s.Check(fmt.Errorf("the daemon did not acknowledge that the backend server drains: %d", status))
	}
	callers.Wait()
	target.Deregister()
	late, before := 0, 0
	for _, run := range target.Runs() {
		switch {
		case run.At > acknowledged+stage.DrainTime:
			late++
		case run.At > jumpEnd+stage.StableWindow && run.At < acknowledged:
			before++
		}
	}
	if before == 0 {
		s.Check(fmt.Errorf("the backend server got no request before it drained"))
	}
	s.Record.Line("acknowledged at %.3f; requests that reached the draining backend server over %s later: %d", acknowledged.Seconds(), stage.DrainTime, late)
	fmt.Println("requests that reached the draining backend server too late:", late)
	s.End(late > 0)
}
