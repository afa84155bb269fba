// Package usage reads what this process has used of the machine.
//
// # Usage
//
//	before := usage.Now()
//	work()
//	spent := usage.Now().Since(before)
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// Usage is the processor time used so far, of users and system together.
type Usage time.Duration

// Now returns the usage of this process.
func Now() Usage {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return Usage(r.Utime.Nano() + r.Stime.Nano())
}

// Since returns the processor time between two usages.
func (u Usage) Since(before Usage) time.Duration { return time.Duration(u - before) }

// Heap returns the bytes of live objects after a collection.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
