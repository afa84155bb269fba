package replay

import "balsamwharf.example/balsamwharf/internal/ids"

// Outcome says what a record did to the state. The interface is sealed.
type Outcome interface{ isOutcome() }

// Accepted means that the section now has the edit's values.
type Accepted struct{ Version ids.Offset }

// Conflict means that the section changed after the version that the edit was
// based on.
type Conflict struct{ Current ids.Offset }

// Duplicate means that an edit with the same id was applied before.
type Duplicate struct{}

// Denied means that the credential does not cover the path.
type Denied struct{ Reason string }

// Invalid means that the values do not make a section.
type Invalid struct{ Reason string }

// Skipped means that the record has no effect on this state.
type Skipped struct{}

// Gap means that records before this one are missing. Nothing was applied.
type Gap struct{ Next ids.Offset }

func (Accepted) isOutcome()  {}
func (Conflict) isOutcome()  {}
func (Duplicate) isOutcome() {}
func (Denied) isOutcome()    {}
func (Invalid) isOutcome()   {}
func (Skipped) isOutcome()   {}
func (Gap) isOutcome()       {}
