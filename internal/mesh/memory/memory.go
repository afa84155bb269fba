// Package memory bounds what the bodies of all requests and answers take in a daemon.
//
// # Usage
//
//	var m *memory.Memory
//	kernel.Bind(f, "memory", &m)
//	h := m.Requests()
//	defer h.Release()
//	b, err := body.Read(r, length, longest, h)
//
// Requests and answers are counted apart, so that uploads never keep an answer from being read: a
// request that finds no room has not run, but one whose answer finds none has.
package memory

import (
	"context"
	"errors"
	"runtime/debug"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/mesh/allowance"
	"balsamwharf.example/balsamwharf/internal/mesh/hold"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// shortPart is the divisor of the part that long bodies leave to short ones.
	shortPart = 12
	// processLimit is the memory of the whole process above which the garbage collector runs more
	// often. The bodies of the default settings take 104 MB at the most.
	processLimit = 112 << 20
)

// Memory counts the bodies of a daemon.
type Memory struct {
	Common *common.Common

	requests, answers allowance.Allowance
}

// Name implements service.Service.
func (m *Memory) Name() service.Name { return "memory" }

// Needs implements service.Service.
func (m *Memory) Needs() []service.Name { return nil }

// Start implements service.Service.
func (m *Memory) Start(context.Context, service.Finder) error {
	debug.SetMemoryLimit(processLimit)
	r := m.Common.Metrics
	return errors.Join(
		metric.RequestBytes.Follow(r, func() int64 { return int64(m.requests.Taken()) }),
		metric.RequestBytesMost.Follow(r, func() int64 { return int64(m.requests.Most()) }),
		metric.AnswerBytes.Follow(r, func() int64 { return int64(m.answers.Taken()) }),
		metric.AnswerBytesMost.Follow(r, func() int64 { return int64(m.answers.Most()) }),
	)
}

// Stop implements service.Service.
func (m *Memory) Stop(context.Context) error { return nil }

// Requests returns the hold of one request's body.
func (m *Memory) Requests() *hold.Hold {
	return open(&m.requests, units.Bytes(m.Common.Mesh.Requests.OrDefault().Total))
}

// Answers returns the hold of the answers to one request.
func (m *Memory) Answers() *hold.Hold {
	return open(&m.answers, units.Bytes(m.Common.Mesh.Answers.OrDefault().Total))
}

func open(of *allowance.Allowance, total units.Bytes) *hold.Hold {
	return &hold.Hold{Of: of, Total: total, Long: total - total/shortPart}
}
