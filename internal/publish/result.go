package publish

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/replay"
)

// Result is the outcome of a Submit. The interface is sealed.
type Result interface{ isResult() }

// Accepted means that the section has the values of the edit from Version on.
type Accepted struct{ Version ids.Offset }

// Conflict means that the section has changed since the edit's base.
type Conflict struct {
	// Current is the present version of the section, and Values are its values that
	// differ from the defaults.
	Current ids.Offset
	Values  map[string]string
	// Removed is set when the section no longer exists.
	Removed bool
}

// Denied means that the credential does not cover the path.
type Denied struct{ Reason string }

// Invalid means that the edit's values don't form a valid section, that the section
// clashes with another one, or that it must not be removed.
type Invalid struct {
	Reason string
	// Cause is a *settings.Error with section and name when a value is wrong; nil when
	// the edit clashes with another section.
	Cause error
}

// NotAppended means that the log is unavailable and that nothing was appended.
type NotAppended struct{ Reason string }

// Unknown means that the edit may be on the log. A later Lookup may return its
// result.
type Unknown struct{ Reason string }

func (Accepted) isResult()    {}
func (Conflict) isResult()    {}
func (Denied) isResult()      {}
func (Invalid) isResult()     {}
func (NotAppended) isResult() {}
func (Unknown) isResult()     {}

// resultOf converts an outcome of replay.
func resultOf(out replay.Outcome) Result {
	switch o := out.(type) {
	case replay.Accepted:
		return Accepted{Version: o.Version}
	case replay.Conflict:
		return Conflict{Current: o.Current, Removed: o.Current == 0}
	case replay.Denied:
		return Denied{Reason: o.Reason}
	case replay.Invalid:
		return Invalid{Reason: o.Reason}
	default:
		return Unknown{Reason: "the record was not applied"}
	}
}
