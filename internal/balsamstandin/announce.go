package balsamstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
)

const (
	renewPeriod  = time.Second
	leaveTimeout = 5 * time.Second
)

// form is the body of an announcement.
type form struct {
	Service ids.Service `json:"service"`
	Address string      `json:"address"`
	Slots   int         `json:"slots"`
}

// announce announces the server, and renews the announcement until ctx ends.
func announce(ctx context.Context, o options, address string, stderr io.Writer) {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	body := form{Service: o.Service, Address: address, Slots: o.Slots}
	for {
		call := sling.New().Put(o.Announce + "/targets/" + string(o.Name)).BodyJSON(body)
		if err := tell(ctx, call); err != nil && ctx.Err() == nil {
			fmt.Fprintln(stderr, err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// leave drains the server at its daemon.
func leave(o options) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return tell(ctx, sling.New().Delete(o.Announce+"/targets/"+string(o.Name)))
}

// tell makes one call to the daemon.
func tell(ctx context.Context, call *sling.Sling) error {
	req, err := call.Request()
	if err != nil {
		return errorx.Decorate(err, "build announcement")
	}
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return errorx.Decorate(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errorx.ExternalError.New("the daemon answered an announcement with status %d", resp.StatusCode)
	}
	return nil
}
