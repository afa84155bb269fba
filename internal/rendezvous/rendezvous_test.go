package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
)

// Keys are distributed evenly, and a daemon that leaves moves only its own keys.
func TestTop(t *testing.T) {
	const keys, daemons = 10000, 50
	var all []ids.Daemon
	for i := range daemons {
		all = append(all, ids.Daemon(fmt.Sprint("vm", i)))
	}
	count := map[ids.Daemon]int{}
	for i := range keys {
		key := fmt.Sprint("account/", i)
		top := rendezvous.Top(key, all, 2)[0]
		count[top]++
		if top != all[0] {
			must.EqOp(t, top, rendezvous.Top(key, all[1:], 1)[0])
		}
	}
	for _, n := range count {
		must.Between(t, keys/daemons*7/10, n, keys/daemons*13/10)
	}
	must.MapLen(t, daemons, count)
}
