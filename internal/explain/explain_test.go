package explain_test

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/explain"
)

const entryLog = `  1.0 vm1 {"by":"vm1","event":742,"id":"a1","daemon":"vm2","how":"lost","detail":"reset","ts":9}
no log line
{"by":"vm1","event":740,"id":"a10","daemon":"vm3","status":200}
{"by":"vm1","event":740,"id":"a1","daemon":"vm3","status":200,"ts":8}
`

const gateLog = `{"by":"vm3","event":743,"id":"a1","how":"answered","ts":1}
{"by":"vm2","event":743,"id":"a1","how":"broken","ts":99}
{"by":"vm3","event":740,"id":"a1.b","daemon":"vm2","status":500,"ts":2}
`

// Steps are in the order of the attempts, whatever their timestamps, and end with the
// requests that the target made.
func TestSteps(t *testing.T) {
	steps, err := explain.Steps("a1", []io.Reader{strings.NewReader(gateLog), strings.NewReader(entryLog)})
	must.NoError(t, err)
	var got []string
	for _, s := range steps {
		got = append(got, s.String())
	}
	must.Eq(t, []string{
		"vm2: ran (743) how=broken",
		"vm1: attempt (742) how=lost detail=reset daemon=vm2",
		"vm3: ran (743) how=answered",
		"vm1: answered (740) status=200 daemon=vm3",
		"vm3: answered (740) status=500 daemon=vm2",
	}, got)
}

// The lines of a gatekeeper that declined at first and ran the request later belong to the
// later attempt.
func TestDeclinedBefore(t *testing.T) {
	log := `{"by":"vm1","event":742,"id":"a1","daemon":"vm2","how":"declined"}
{"by":"vm1","event":742,"id":"a1","daemon":"vm3","how":"declined"}
{"by":"vm1","event":742,"id":"a1","daemon":"vm2","how":"lost"}
{"by":"vm2","event":743,"id":"a1","how":"broken"}
`
	steps, err := explain.Steps("a1", []io.Reader{strings.NewReader(log)})
	must.NoError(t, err)
	must.Len(t, 4, steps)
	must.EqOp(t, "vm2: ran (743) how=broken", steps[2].String())
}

func TestUnknownRequest(t *testing.T) {
	steps, err := explain.Steps("zz", []io.Reader{strings.NewReader(entryLog)})
	must.NoError(t, err)
	must.SliceEmpty(t, steps)
}
