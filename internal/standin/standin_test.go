package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/standin"
)

// A request that hangs ends when its caller goes away, also when it has a body that
// nobody reads.
func TestHangsUntilCallerLeaves(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			s := &standin.Standin{ID: "t"}
			s.Set(standin.Hangs{})
			arrived := make(chan struct{}, 1)
			ended := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(ended)
				arrived <- struct{}{}
				s.ServeHTTP(w, r)
			}))
			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan error, 1)
			go func() {
				req, err := http.NewRequestWithContext(ctx, method, server.URL, strings.NewReader("ten"))
				if err != nil {
					failed <- err
					return
				}
				_, err = http.DefaultClient.Do(req)
				failed <- err
			}()
			<-arrived
			cancel()
			must.ErrorIs(t, <-failed, context.Canceled)
			<-ended
			server.Close()
		})
	}
}
