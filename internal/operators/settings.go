package operators

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/publish"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/pkg/api"
)

const (
	historyPageSize   = 1000
	maxHistoryRecords = 10_000
)

// sections serves GET /v1/sections: the sections below the prefix that the credential
// covers.
func (o *Server) sections(r *http.Request, s scope) (any, error) {
	prefix := r.URL.Query().Get("prefix")
	list := []api.Section{}
	o.tail.View(func(state *replay.State) {
		for _, path := range state.Paths() {
			if !hasPathPrefix(string(path), prefix) || !s.covers(path) {
				continue
			}
			e, _ := state.Get(path)
			list = append(list, api.Section{Path: string(path), Version: uint64(e.Version), Values: e.Values()})
		}
	})
	return list, nil
}

// hasPathPrefix reports whether the path is the prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return prefix == "" || path == prefix || strings.HasPrefix(path, prefix+"/")
}

// submitEdit serves POST /v1/edits: it appends an edit to the settings log and returns
// its receipt.
func (o *Server) submitEdit(r *http.Request, s scope) (any, error) {
	var e api.Edit
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return nil, &httpError{http.StatusBadRequest, "the edit is not the expected JSON: " + err.Error()}
	}
	receipt, err := o.publish.Submit(r.Context(), record.Edit{
		ID:         ids.Edit(e.ID),
		Path:       ids.Path(e.Path),
		Base:       ids.Offset(e.Base),
		Credential: s.hash,
		Values:     e.Values,
		Remove:     e.Remove,
	})
	if err != nil {
		return nil, err
	}
	if _, denied := receipt.Result.(publish.Denied); denied {
		o.Common.Warn(event.EditDenied, zap.String("team", string(s.team)), zap.String("path", e.Path))
	}
	return receiptFrom(receipt), nil
}

// lookupEdit serves GET /v1/edits/{id}: the receipt of an edit that this daemon has
// read from the log.
func (o *Server) lookupEdit(r *http.Request) (any, error) {
	receipt, ok := o.publish.Lookup(ids.Edit(r.PathValue("id")))
	if !ok {
		return nil, &httpError{http.StatusNotFound, "no edit with this id was read from the log yet"}
	}
	return receiptFrom(receipt), nil
}

func receiptFrom(r publish.Receipt) api.Receipt {
	out := api.Receipt{ID: string(r.ID), Offset: uint64(r.Offset)}
	switch result := r.Result.(type) {
	case publish.Accepted:
		out.Result, out.Offset = api.Accepted, uint64(result.Version)
	case publish.Conflict:
		out.Result, out.Current, out.Values = api.Conflict, uint64(result.Current), result.Values
		out.Reason = "the section changed after the version that the edit was based on"
		if result.Removed {
			out.Reason = "the section was removed meanwhile"
		}
	case publish.Denied:
		out.Result, out.Reason = api.Denied, result.Reason
	case publish.Invalid:
		out.Result, out.Reason = api.Invalid, result.Reason
	case publish.NotAppended:
		out.Result, out.Reason = api.Away, result.Reason
	case publish.Unknown:
		out.Result, out.Reason = api.Unknown, result.Reason
	}
	return out
}

// inForce serves GET /v1/force: whether the record at an offset is in force.
func (o *Server) inForce(r *http.Request) (any, error) {
	at, err := strconv.ParseUint(r.URL.Query().Get("at"), 10, 64)
	if err != nil {
		return nil, &httpError{http.StatusBadRequest, "at must be an offset"}
	}
	return api.Force{Force: o.force.InForce(ids.Offset(at)), Newest: uint64(o.force.Newest())}, nil
}

// history serves GET /v1/history: the edits in the log, from its oldest retained record
// on, below the prefix that the credential covers. It stops once it has read
// maxHistoryRecords records.
func (o *Server) history(r *http.Request, s scope) (any, error) {
	prefix := r.URL.Query().Get("prefix")
	changes := []api.Change{}
	from := ids.Offset(1)
	for read := 0; read < maxHistoryRecords; {
		page, err := o.readPage(r.Context(), from)
		if err != nil {
			return nil, &httpError{http.StatusServiceUnavailable, "the log service is away, so the history can't be read"}
		}
		if len(page.Items) == 0 {
			return changes, nil
		}
		for _, item := range page.Items {
			if c, ok := o.decodeChange(item, prefix, s); ok {
				changes = append(changes, c)
			}
		}
		read += len(page.Items)
		from = page.Items[len(page.Items)-1].At + 1
	}
	return changes, nil
}

// readPage reads one page of the settings log from the offset on.
func (o *Server) readPage(ctx context.Context, from ids.Offset) (platformlog.Page, error) {
	ctx, cancel := o.Common.Clock.WithTimeout(ctx, o.Common.Settings.Platform.Timeout)
	defer cancel()
	return o.Log.Read(ctx, platformlog.Settings, from, historyPageSize, 0)
}

// decodeChange converts a log item to a change. It returns false for records that are
// no edits, lie outside the prefix or are not covered by the credential.
func (o *Server) decodeChange(item platformlog.Item, prefix string, s scope) (api.Change, bool) {
	rec, err := record.Decode(item.Data)
	if err != nil {
		return api.Change{}, false
	}
	e, ok := rec.(record.Edit)
	if !ok || !hasPathPrefix(string(e.Path), prefix) || !s.covers(e.Path) {
		return api.Change{}, false
	}
	c := api.Change{Offset: uint64(item.At), ID: string(e.ID), Path: string(e.Path), Values: e.Values, Remove: e.Remove, Result: api.Unknown}
	if receipt, ok := o.publish.Lookup(e.ID); ok {
		c.Result = receiptFrom(receipt).Result
	}
	return c, true
}
