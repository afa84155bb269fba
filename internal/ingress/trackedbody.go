package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// tracked is a request's body that knows whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// newTracked returns the request's body; an empty one has ended already.
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

// release wakes a reader that still waits for the caller's bytes when the answer
// is over; the connection can't serve another request then.
func (t *trackedBody) interruptRead(w http.ResponseWriter) {
	if t.ended.Load() {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}
