// Package api holds the JSON forms in which daemons and operators' programs speak.
//
// # Usage
//
//	var s api.Status
//	err := json.Unmarshal(body, &s)
//
// Times are in milliseconds, shares in percent, rates in requests per second.
package api

// Section is one section of the shared settings.
type Section struct {
	Path string `json:"path"`
	// Version is the offset of the section's last change.
	Version uint64            `json:"version"`
	Values  map[string]string `json:"values"`
}

// Edit asks to change or remove a section.
type Edit struct {
	// ID makes a repeat harmless: the same ID is applied once.
	ID   string `json:"id"`
	Path string `json:"path"`
	// Base is the version that the edit starts from; 0 when there is no section.
	Base   uint64            `json:"base"`
	Values map[string]string `json:"values,omitempty"`
	Remove bool              `json:"remove,omitempty"`
}

// Result says what became of an edit.
type Result string

// The results.
const (
	Accepted Result = "accepted"
	Conflict Result = "conflict"
	Denied   Result = "denied"
	Invalid  Result = "invalid"
	// Away means that the log service is away and nothing was written.
	Away Result = "away"
	// Unknown means that the edit may have been written; ask again by its ID.
	Unknown Result = "unknown"
)

// Receipt tells what became of an edit.
type Receipt struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
	Offset uint64 `json:"offset,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Current and Values describe the section that an edit conflicts with.
	Current uint64            `json:"current,omitempty"`
	Values  map[string]string `json:"values,omitempty"`
}

// Force tells whether a record is in force everywhere.
type Force struct {
	Force bool `json:"force"`
	// Newest is the newest offset that is in force.
	Newest uint64 `json:"newest"`
}

// Change is one edit in the history of the log.
type Change struct {
	Offset uint64            `json:"offset"`
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Values map[string]string `json:"values,omitempty"`
	Remove bool              `json:"remove,omitempty"`
	Result Result            `json:"result"`
}

// Status describes a daemon and what it knows of the fleet.
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
	// Expires is when the daemon's certificate ends, as RFC 3339.
	Expires string `json:"expires"`
}

// Target is one backend server as the fleet knows it.
type Target struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Daemon  string `json:"daemon"`
	Centre  string `json:"centre"`
	Slots   int    `json:"slots"`
	// State is serving, leaving, ejected or lost.
	State string `json:"state"`
}

// Account is a client account with its limits and keys.
type Account struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Burst   int     `json:"burst"`
	Weight  int     `json:"weight"`
	Keys    int     `json:"keys"`
	// Holders are the daemons that hold the account's tokens; it is left out in
	// lists of more than 200 accounts.
	Holders []string `json:"holders"`
}

// Problem is the body of a refused call.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}
