package replay

import "balsamwharf.example/balsamwharf/internal/ids"

// Outcome is the effect of a record on the state. The interface is sealed.
type Outcome interface{ isOutcome() }

// Accepted means that the section now has the values of the edit.
type Accepted struct{ Version ids.Offset }

// Conflict means that the section has changed since the version that the edit was
// based on.
type Conflict struct{ Current ids.Offset }

// Duplicate means that an edit with the same id was applied before.
type Duplicate struct{}

// Denied means that the credential does not cover the path.
type Denied struct{ Reason string }

// Invalid means that the edit's values don't form a valid section, that the section
// clashes with another one, or that it must not be removed.
type Invalid struct{ Reason string }

// Skipped means that the record has no effect on this state.
type Skipped struct{}

// Gap means that earlier records are missing: Next is the offset of the first.
// Nothing was applied.
type Gap struct{ Next ids.Offset }

func (Accepted) isOutcome()  {}
func (Conflict) isOutcome()  {}
func (Duplicate) isOutcome() {}
func (Denied) isOutcome()    {}
func (Invalid) isOutcome()   {}
func (Skipped) isOutcome()   {}
func (Gap) isOutcome()       {}
