package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// tracked is a request's body that knows whether it was read to its end.
type tracked struct {
	io.ReadCloser
	ended atomic.Bool
}

// newTracked returns the request's body; an empty one has ended already.
func newTracked(r *http.Request) *tracked {
	t := &tracked{ReadCloser: r.Body}
	t.ended.Store(r.ContentLength == 0)
	return t
}

// Read implements io.Reader.
func (t *tracked) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err != nil {
		t.ended.Store(true)
	}
	return n, err
}

// release wakes a reader that still waits for the caller's bytes when the answer
// is over; the connection can't serve another request then.
func (t *tracked) release(w http.ResponseWriter) {
	if t.ended.Load() {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}
