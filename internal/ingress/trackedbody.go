package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// trackedBody is a request's body that records whether it was read to its end or to an
// error.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// newTrackedBody returns the request's body; an empty one counts as read to its end.
func newTrackedBody(r *http.Request) *trackedBody {
	t := &trackedBody{ReadCloser: r.Body}
	t.ended.Store(r.ContentLength == 0)
	return t
}

// Read implements io.Reader.
func (t *trackedBody) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err != nil {
		t.ended.Store(true)
	}
	return n, err
}

// interruptRead makes a Read fail that still waits for the caller's bytes when the answer
// has ended. The connection can't serve another request then.
func (t *trackedBody) interruptRead(w http.ResponseWriter) {
	if t.ended.Load() {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}
