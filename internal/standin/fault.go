package standin

import "time"

// Fault is how a stand-in misbehaves. The interface is sealed.
type Fault interface{ isFault() }

// None is a backend server that works.
type None struct{}

// Errs answers a share of the requests with status 500.
type Errs struct{ Share float64 }

// Slow multiplies the time of every request.
type Slow struct{ Factor float64 }

// Hangs accepts requests and never answers.
type Hangs struct{}

// Cuts sends half of each answer and closes the connection.
type Cuts struct{}

// WrongFor errs for the paths with the prefix and works for others.
type WrongFor struct{ Prefix string }

// Flaps errs on every request during every other period.
type Flaps struct{ Period time.Duration }

// Refuses closes every connection before it reads a request.
type Refuses struct{}

// Holds names each request on Arrived and answers it once Release is closed.
type Holds struct {
	Arrived chan string
	Release chan struct{}
}

func (Holds) isFault()    {}
func (None) isFault()     {}
func (Errs) isFault()     {}
func (Slow) isFault()     {}
func (Hangs) isFault()    {}
func (Cuts) isFault()     {}
func (WrongFor) isFault() {}
func (Flaps) isFault()    {}
func (Refuses) isFault()  {}
