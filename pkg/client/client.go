// Package client calls the daemons' HTTP interface for operators.
//
// # Usage
//
//	c := &client.Client{Daemons: []string{"http://10.0.0.1:8082"}, Credential: secret}
//	sections, err := c.Sections(ctx, "teams/andrade")
//
// When a daemon can't be reached, the client calls the next one. An edit carries an ID,
// so that sending it to a second daemon can't apply it twice.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/pkg/api"
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 256 << 20

// Client calls daemons. Its calls fail while Daemons is empty.
type Client struct {
	// Daemons are the base URLs of daemons, tried in order.
	Daemons []string
	// Credential is a team's credential or the root credential.
	Credential string
	// Timeout is the time-out of one call to one daemon; zero means 15 s.
	Timeout time.Duration
	// HTTP is the HTTP client for the calls; the zero value is ready for use.
	HTTP http.Client
}

const defaultTimeout = 15 * time.Second

// ErrUnreachable is the type of the error returned when no daemon answered.
var ErrUnreachable = errorx.CommonErrors.NewType("unreachable")

// Error is returned when a daemon refused the call.
type Error struct{ api.Problem }

// Error implements error.
func (e *Error) Error() string { return e.Detail }

// Sections returns the sections whose paths start with the prefix.
func (c *Client) Sections(ctx context.Context, prefix string) ([]api.Section, error) {
	return get[[]api.Section](ctx, c, "v1/sections", url.Values{"prefix": {prefix}})
}

// Submit sends an edit and returns its outcome.
func (c *Client) Submit(ctx context.Context, e api.Edit) (api.Receipt, error) {
	var r api.Receipt
	err := c.call(ctx, func(s *sling.Sling) *sling.Sling { return s.Post("v1/edits").BodyJSON(e) }, &r)
	return r, err
}

// Lookup returns the outcome of the edit with the given ID.
func (c *Client) Lookup(ctx context.Context, id string) (api.Receipt, error) {
	return get[api.Receipt](ctx, c, "v1/edits/"+url.PathEscape(id), nil)
}

// Force reports whether the record at the given offset is in force.
func (c *Client) Force(ctx context.Context, at uint64) (api.Force, error) {
	return get[api.Force](ctx, c, "v1/force", url.Values{"at": {jsonNumber(at)}})
}

// History returns the edits of sections whose paths start with the prefix.
func (c *Client) History(ctx context.Context, prefix string) ([]api.Change, error) {
	return get[[]api.Change](ctx, c, "v1/history", url.Values{"prefix": {prefix}})
}

// Status returns the status of the first daemon that answers.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	return get[api.Status](ctx, c, "v1/status", nil)
}

// Targets returns the targets of a service, or of all services when service is empty.
func (c *Client) Targets(ctx context.Context, service string) ([]api.Target, error) {
	return get[[]api.Target](ctx, c, "v1/targets", url.Values{"service": {service}})
}

// Accounts returns the client accounts that the credential gives access to.
func (c *Client) Accounts(ctx context.Context) ([]api.Account, error) {
	return get[[]api.Account](ctx, c, "v1/accounts", nil)
}

// Burn returns the report that the daemon collected on how fast services spend their
// error budgets, as raw JSON.
func (c *Client) Burn(ctx context.Context) (json.RawMessage, error) {
	return get[json.RawMessage](ctx, c, "v1/burn", nil)
}

func jsonNumber(n uint64) string {
	text, _ := json.Marshal(n)
	return string(text)
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var result T
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	err := c.call(ctx, func(s *sling.Sling) *sling.Sling { return s.Get(path) }, &result)
	return result, err
}

// call calls the daemons in order until one answers or ctx ends. A refusal is an answer
// and is returned as an *Error.
func (c *Client) call(ctx context.Context, build func(*sling.Sling) *sling.Sling, result any) error {
	if len(c.Daemons) == 0 {
		return errorx.IllegalArgument.New("no daemons configured")
	}
	var lastErr error
	for _, base := range c.Daemons {
		err := c.callDaemon(ctx, build(sling.New().Base(base+"/")), result)
		var refusal *Error
		if err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return err
		}
		lastErr = errorx.Decorate(err, "daemon %s", base)
	}
	return ErrUnreachable.Wrap(lastErr, "no daemon answered")
}

// callDaemon calls one daemon and decodes its response into result.
func (c *Client) callDaemon(ctx context.Context, s *sling.Sling, result any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := s.Set("Authorization", "Bearer "+c.Credential).Request()
	if err != nil {
		return err
	}
	resp, err := c.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp.StatusCode, body)
	}
	return json.Unmarshal(body, result)
}

func refusalOf(status int, body []byte) error {
	e := &Error{}
	if json.Unmarshal(body, &e.Problem) != nil || e.Detail == "" {
		e.Problem = api.Problem{Title: http.StatusText(status), Status: status, Detail: http.StatusText(status)}
	}
	return e
}
