// Package api defines the JSON bodies of the daemons' HTTP interface for operators.
//
// # Usage
//
//	var s api.Status
//	err := json.Unmarshal(body, &s)
//
// Durations are in milliseconds, shares in percent, rates in requests per second.
package api

// Section is one section of the shared settings.
type Section struct {
	Path string `json:"path"`
	// Version is the offset of the section's last change.
	Version uint64            `json:"version"`
	Values  map[string]string `json:"values"`
}

// Edit is a request to change or remove a section.
type Edit struct {
	// ID makes retries idempotent: an edit is applied once per ID.
	ID   string `json:"id"`
	Path string `json:"path"`
	// Base is the section's version that the edit is based on; 0 when the section does
	// not exist.
	Base   uint64            `json:"base"`
	Values map[string]string `json:"values,omitempty"`
	Remove bool              `json:"remove,omitempty"`
}

// Result is the outcome of an edit.
type Result string

// The results.
const (
	Accepted Result = "accepted"
	Conflict Result = "conflict"
	Denied   Result = "denied"
	Invalid  Result = "invalid"
	// Away means that the log service is unavailable and nothing was written.
	Away Result = "away"
	// Unknown means that the edit may have been written; look it up by its ID.
	Unknown Result = "unknown"
)

// Receipt reports the outcome of an edit.
type Receipt struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
	Offset uint64 `json:"offset,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Current and Values describe the section that an edit conflicts with.
	Current uint64            `json:"current,omitempty"`
	Values  map[string]string `json:"values,omitempty"`
}

// Force reports whether a record is in force everywhere.
type Force struct {
	Force bool `json:"force"`
	// Newest is the newest offset that is in force.
	Newest uint64 `json:"newest"`
}

// Change is one edit in the log's history.
type Change struct {
	Offset uint64            `json:"offset"`
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Values map[string]string `json:"values,omitempty"`
	Remove bool              `json:"remove,omitempty"`
	Result Result            `json:"result"`
}

// Status describes a daemon and its view of the fleet.
type Status struct {
	Daemon    string `json:"daemon"`
	Centre    string `json:"centre"`
	Region    string `json:"region"`
	Offset    uint64 `json:"offset"`
	Newest    uint64 `json:"newest"`
	Confirmed bool   `json:"confirmed"`
	Roster    int    `json:"roster"`
	Witnesses int    `json:"witnesses"`
	Known     int    `json:"known"`
	Lost      int    `json:"lost"`
	Broken    int64  `json:"broken"`
	Checks    int64  `json:"checks"`
	// Expires is when the daemon's certificate for its peers expires, in RFC 3339.
	Expires string `json:"expires"`
	// Public is when the certificate for callers expires, in RFC 3339; it is empty
	// without TLS.
	Public string `json:"public,omitempty"`
}

// Target describes one backend server and its state in the fleet.
type Target struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Daemon  string `json:"daemon"`
	Centre  string `json:"centre"`
	Slots   int    `json:"slots"`
	// State is serving, leaving, ejected or lost.
	State string `json:"state"`
}

// Account is a client account with its limits and its number of keys.
type Account struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Burst   int     `json:"burst"`
	Weight  int     `json:"weight"`
	Keys    int     `json:"keys"`
	// Holders are the quota leaders that hold the account's tokens. It is null in lists
	// of more than 200 accounts.
	Holders []string `json:"holders"`
}

// Problem is the body of the response to a refused call.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}
