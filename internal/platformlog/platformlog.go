// Package platformlog is the client of the platform's append-only log service.
//
// # Usage
//
//	log := &platformlog.Client{Base: "http://127.0.0.1:9000"}
//	at, err := log.Append(ctx, platformlog.Settings, data)
//	page, err := log.Read(ctx, platformlog.Settings, at, 100, time.Second)
//
// Offsets are contiguous. A status 503 says that the call had no effect. An
// append whose reply was lost may have taken effect: the caller looks for it
// in the log before it appends again.
package platformlog

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Stream names one stream of the log.
type Stream string

// Settings carries operators' edits, snapshots and rosters. One stream gives one
// offset and one total order.
const Settings Stream = "settings"

// Item is one record with its offset.
type Item struct {
	At   ids.Offset
	Data []byte
}

// Page is what one read returns.
type Page struct {
	Items []Item
	// First is the offset of the oldest record that the log still keeps.
	First ids.Offset
	// Last is the offset of the newest record.
	Last ids.Offset
}

// Log is what the daemon needs of the log service.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may
	// be on the log, unless Unappended says that it is not.
	Append(ctx context.Context, s Stream, data []byte) (ids.Offset, error)
	// Read returns records from an offset on. It waits for a record when there
	// is none yet.
	Read(ctx context.Context, s Stream, from ids.Offset, limit int, wait time.Duration) (Page, error)
}

// maxPageBytes bounds one answer of the log service.
const maxPageBytes = 64 << 20

// Client speaks to the log service by HTTP.
type Client struct {
	Base string
	HTTP http.Client
}

// query is the query of a read.
type query struct {
	From  ids.Offset `url:"from"`
	Limit int        `url:"limit"`
	Wait  int64      `url:"wait"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, s Stream, data []byte) (ids.Offset, error) {
	req, err := c.path(s).Post("").Body(bytes.NewReader(data)).Request()
	if err != nil {
		return 0, errorx.Decorate(err, "build append")
	}
	var at ids.Offset
	err = c.do(req.WithContext(ctx), &at)
	return at, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, s Stream, from ids.Offset, limit int, wait time.Duration) (Page, error) {
	var page Page
	q := query{From: from, Limit: limit, Wait: wait.Milliseconds()}
	req, err := c.path(s).Get("").QueryStruct(q).Request()
	if err != nil {
		return page, errorx.Decorate(err, "build read")
	}
	err = c.do(req.WithContext(ctx), &page)
	return page, err
}

func (c *Client) path(s Stream) *sling.Sling {
	return sling.New().Base(c.Base).Path("/streams/" + string(s))
}

// do sends the request and decodes a CBOR answer.
func (c *Client) do(req *http.Request, into any) error {
	resp, err := c.HTTP.Do(req)
	if err != nil && undialed(err) {
		return NotAppended.Wrap(err, "connect to log service")
	}
	if err != nil {
		return errorx.Decorate(err, "call log service")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return errorx.Decorate(err, "read answer of log service")
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return NotAppended.New("log service refused: %s", bytes.TrimSpace(body))
	}
	if resp.StatusCode != http.StatusOK {
		return errorx.ExternalError.New("log service answered %d: %s", resp.StatusCode, bytes.TrimSpace(body))
	}
	if err := cbor.Unmarshal(body, into); err != nil {
		return errorx.Decorate(err, "decode answer of log service")
	}
	return nil
}
