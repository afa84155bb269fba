// Command 3 is the program of case 3: a key that the operator has withdrawn is still served long
// after the store is back, by a daemon whose read the store left without a response.
package main

import (
	"fmt"
	"time"

	"balsamwharf.example/balsamwharf/review/stage"
)

const (
	silentFrom  = 14 * time.Second
	publishAt   = 16 * time.Second
	silentUntil = 18 * time.Second
	endAt       = 32 * time.Second
	// callEvery is the pause between the requests of a caller.
	callEvery = 200 * time.Millisecond
)

func main() {
	s := stage.Open("review/3")
	vms := []*stage.VM{s.AddVM("vm1", "zone-a", "quotes"), s.AddVM("vm2", "zone-b", "quotes"), s.AddVM("vm3", "zone-c", "quotes")}
	s.Publish(stage.Document(1, []string{"kept", "withdrawn"}, "quotes"))
	s.BootAll()

	broken := make(chan int, len(vms))
	acknowledged := make(chan time.Duration, len(vms))
	for _, vm := range vms {
		go func() { broken <- call(s, vm, acknowledged) }()
	}
	s.At(silentFrom)
	if stage.Trouble() {
		vms[0].Door.SetSilent(true)
	}
	s.At(publishAt)
	at := s.Publish(stage.Document(2, []string{"kept"}, "quotes"))
	for range vms {
		acknowledged <- at
	}
	s.At(silentUntil)
	if stage.Trouble() {
		vms[0].Door.SetSilent(false)
	}
	n := 0
	for range vms {
		n += <-broken
	}
	s.Record.Line("requests with the withdrawn key that ran too late: %d", n)
	fmt.Println("requests with the withdrawn key that ran too late:", n)
	s.End(n > 0)
}

// call sends requests with both keys and returns how many with the withdrawn one were served
// though they were sent when every machine was in touch and the new version had to be in force.
func call(s *stage.Stage, vm *stage.VM, acknowledged <-chan time.Duration) int {
	n := 0
	due := endAt
	for i := 0; s.Record.Now() < endAt; i++ {
		select {
		case at := <-acknowledged:
			due = at + stage.ConfigApply
			if stage.Trouble() {
				due = max(due, silentUntil+stage.StableWindow+stage.ConfigApply)
			}
		default:
		}
		for _, key := range []string{"kept", "withdrawn"} {
			a := vm.Send(stage.Call{Method: "GET", Target: "/quotes/x", ID: fmt.Sprintf("%s-%s-%d", vm.Name, key, i), Key: key})
			if key == "withdrawn" && a.SentAt > due && a.Status == 200 {
				s.Record.Line("broken: %s ran the withdrawn key in a request of %.3f, which had to be refused from %.3f on", vm.Name, a.SentAt.Seconds(), due.Seconds())
				n++
			}
		}
		time.Sleep(callEvery)
	}
	return n
}
