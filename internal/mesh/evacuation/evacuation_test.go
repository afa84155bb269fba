package evacuation_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

func at(era ids.Era, next ids.Offset) keyed.Position { return keyed.Position{Era: era, Next: next} }

// withTable runs a test with a table and a counter of its changes.
func withTable(t *testing.T, test func(t *testing.T, table *evacuation.Table, changes *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		c := common.Discard()
		table := &evacuation.Table{Common: c}
		var k kernel.Kernel
		k.Add(c.Clock)
		k.Add(table)
		must.NoError(t, k.Start(t.Context()))
		defer func() { must.NoError(t, k.Stop(time.Second)) }()
		var changes atomic.Int64
		table.Subscribe(func() { changes.Add(1) })
		test(t, table, &changes)
	})
}

// Records and lists of the store change what is evacuated; the later one counts, whoever tells.
func TestLaterOneCounts(t *testing.T) {
	withTable(t, func(t *testing.T, table *evacuation.Table, changes *atomic.Int64) {
		table.Record("quito", true, at(0, 5))
		must.True(t, table.Evacuated("quito"))
		table.Merge([]evacuation.State{{Centre: "quito", At: at(0, 4)}})
		must.True(t, table.Evacuated("quito"))
		table.Merge([]evacuation.State{{Centre: "quito", At: at(0, 6)}, {Centre: "valle", Evacuated: true, At: at(0, 2)}})
		must.False(t, table.Evacuated("quito"))
		must.True(t, table.Evacuated("valle"))
		table.List([]ids.Centre{"quito"}, at(0, 9))
		must.True(t, table.Evacuated("quito"))
		must.False(t, table.Evacuated("valle"))
		must.EqOp(t, 3, changes.Load())
		table.List([]ids.Centre{"quito"}, at(0, 9))
		must.EqOp(t, 3, changes.Load())
		// A list may be read from the store while later records come from another daemon.
		table.Record("quito", false, at(0, 12))
		table.List([]ids.Centre{"quito"}, at(0, 10))
		must.False(t, table.Evacuated("quito"))
	})
}

// After the store came back from an older copy, neither an evacuation nor its end is undone, until
// operators had the time to write it again; a record of the new era counts at once.
func TestOlderCopy(t *testing.T) {
	withTable(t, func(t *testing.T, table *evacuation.Table, _ *atomic.Int64) {
		table.Record("quito", true, at(0, 5))
		table.Record("valle", true, at(0, 6))
		table.Record("valle", false, at(0, 7))
		table.List([]ids.Centre{"valle"}, at(1, 4))
		// The list is applied again record by record.
		table.Record("valle", true, at(1, 4))
		must.True(t, table.Evacuated("quito"))
		must.False(t, table.Evacuated("valle"))
		time.Sleep(time.Second)
		table.Record("quito", true, at(1, 5))
		time.Sleep(5 * time.Second)
		must.True(t, table.Evacuated("quito"))
		must.True(t, table.Evacuated("valle"))
		table.Record("valle", false, at(1, 6))
		must.False(t, table.Evacuated("valle"))
	})
}

// A daemon that starts in a later era believes the store.
func TestStartInLaterEra(t *testing.T) {
	withTable(t, func(t *testing.T, table *evacuation.Table, _ *atomic.Int64) {
		table.List([]ids.Centre{"quito"}, at(3, 4))
		must.True(t, table.Evacuated("quito"))
	})
}
