package balsam_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/balsam"
	"balsamwharf.example/balsamwharf/platform/document"
)

// documents holds configurations of a platform, whose words stay in its adapter.
const documents = "../../platform/document/testdata/"

// first returns a valid configuration; second.json differs from it in one field.
func first(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(documents + "first.json")
	must.NoError(t, err)
	return string(raw)
}

// checkFile runs balsam check on a text and returns its exit code and what it prints.
func checkFile(t *testing.T, text string, args ...string) (code int, out, errs string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "configuration.json")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	var o, e bytes.Buffer
	code = balsam.Main(append(args, "check", file), &o, &e)
	return code, o.String(), e.String()
}

// A platform's configuration is checked without a daemon, and compared with the one in force.
func TestCheckConfiguration(t *testing.T) {
	code, out, _ := checkFile(t, first(t))
	must.EqOp(t, int(balsam.OK), code)
	must.StrContains(t, out, "valid")
	inForce, next := documents+"first.json", documents+"second.json"
	var o, e bytes.Buffer
	must.EqOp(t, int(balsam.OK), balsam.Main([]string{"check", next, "--against", inForce}, &o, &e))
	must.StrContains(t, o.String(), "changed route r\n  attempts: 1 -> 2")
	must.EqOp(t, int(balsam.Usage), balsam.Main([]string{"check", inForce, "--against", next}, &o, &e))
	must.StrContains(t, o.String(), "daemons ignore it")
}

// What is wrong is said with its place, and machines can read it.
func TestCheckFaults(t *testing.T) {
	code, out, errs := checkFile(t, strings.Replace(first(t), `"/x/"`, `"/x"`, 1))
	must.EqOp(t, int(balsam.Usage), code)
	must.StrContains(t, out, "error: "+document.PathOf("routes[0].prefix"))
	must.StrContains(t, errs, "1 errors")
	_, out, _ = checkFile(t, strings.Replace(first(t), `"attempts":1`, `"attempts":"x"`, 1))
	must.StrContains(t, out, "error: routes[0]")
	_, out, _ = checkFile(t, strings.Replace(first(t), `"safe"`, `"sage"`, 1), "--json")
	var report struct {
		Findings []struct{ Level, Path string }
	}
	must.NoError(t, json.Unmarshal([]byte(out), &report))
	must.SliceLen(t, 1, report.Findings)
	must.EqOp(t, "warning", report.Findings[0].Level)
}

// Input that is cut off, nested deeply or very long gets a clear answer soon.
func TestCheckOddInput(t *testing.T) {
	code, out, _ := checkFile(t, first(t)[:60])
	must.EqOp(t, int(balsam.Usage), code)
	must.StrContains(t, out, "document")
	code, _, _ = checkFile(t, `{"routes":`+strings.Repeat("[", 1<<20))
	must.EqOp(t, int(balsam.Usage), code)
	text := first(t)
	begin, end := strings.Index(text, "[")+1, strings.Index(text, "]")
	var routes []string
	for i := range 35_000 {
		routes = append(routes, strings.NewReplacer(`"r"`, fmt.Sprintf(`"r%d"`, i), "/x/", fmt.Sprintf("/x%d/", i)).Replace(text[begin:end]))
	}
	began := time.Now()
	code, _, _ = checkFile(t, text[:begin]+strings.Join(routes, ",")+text[end:])
	must.EqOp(t, int(balsam.OK), code)
	must.Less(t, 2*time.Second*slowdown, time.Since(began))
}
