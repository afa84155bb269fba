package exposition_test

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/exposition"
	"balsamwharf.example/balsamwharf/internal/metric"
)

// Metrics that differ in their labels only share one TYPE line.
func TestLabels(t *testing.T) {
	r := metrics.NewRegistry()
	metric.Attempts.With("result", "lost").Counter(r).Inc(2)
	metric.Attempts.With("result", "answered").Counter(r).Inc(7)
	must.NoError(t, metric.Version.Follow(r, func() int64 { return 12 }))
	var out strings.Builder
	exposition.Write(&out, r)
	must.EqOp(t, `# TYPE balsam_attempts counter
balsam_attempts{result="answered"} 7
balsam_attempts{result="lost"} 2
# TYPE balsam_version gauge
balsam_version 12
`, out.String())
}
