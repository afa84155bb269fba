// Package fairqueue queues the requests that wait for a slot of one target, by deficit
// round robin between client accounts.
//
// # Usage
//
//	q := fairqueue.Queue[*waiter]{Limit: 64}
//	if shed, ok := q.Push(w, "andrade/school", 2, settings.PatienceShort); ok {
//		refuse(shed) // the queue was full; shed may be w itself
//	}
//	next, ok := q.Pop()
//
// In each turn an account may send as many requests as its weight. Within an account
// less patient routes go first; patience has no effect between accounts. A full queue
// sheds from the account that is furthest over its share. A Queue is not safe for
// concurrent use.
package fairqueue

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Queue holds waiting values. The zero value accepts none, because Limit is zero.
type Queue[T comparable] struct {
	// Limit is the maximum number of values that wait.
	Limit int

	accounts map[ids.Account]*account[T]
	// active lists the accounts with waiting values; it is the turn of the first.
	active []*account[T]
	owner  map[T]*account[T]
}

// urgencyLevels is the number of values of settings.Patience.
const urgencyLevels = 3

// account is the part of the queue of one client account.
type account[T comparable] struct {
	id     ids.Account
	weight int
	// waiting holds the values by urgency, oldest first.
	waiting [urgencyLevels][]T
	// deficit is the number of values that the account may still send in its turn.
	deficit int
	// running counts the requests that Pop or Begin started and Done did not end yet.
	running int
}

func urgencyOf(p settings.Patience) int {
	switch p {
	case settings.PatienceShort:
		return 0
	case settings.PatienceLong:
		return 2
	default:
		return 1
	}
}

// Len returns the number of waiting values.
func (q *Queue[T]) Len() int { return len(q.owner) }

// Push adds a value. If the queue is full it returns the value that must be shed, which
// may be v itself, and true.
func (q *Queue[T]) Push(v T, from ids.Account, weight units.Weight, p settings.Patience) (T, bool) {
	a := q.account(from, weight)
	var shed T
	full := len(q.owner) >= q.Limit
	if full {
		worst := q.mostOverShare(a)
		if worst == a && !a.hasLessUrgent(urgencyOf(p)) {
			q.evictIdle(a)
			return v, true
		}
		shed = worst.last()
		q.Remove(shed)
		a = q.account(from, weight)
	}
	q.insert(a, v, urgencyOf(p))
	return shed, full
}

func (q *Queue[T]) insert(a *account[T], v T, urgency int) {
	if a.len() == 0 {
		q.active = append(q.active, a)
	}
	a.waiting[urgency] = append(a.waiting[urgency], v)
	if q.owner == nil {
		q.owner = map[T]*account[T]{}
	}
	q.owner[v] = a
}

// Pop removes and returns the next value, or false if none waits. It counts as running
// until Done is called.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.active) == 0 {
		var none T
		return none, false
	}
	a := q.active[0]
	if a.deficit < 1 {
		a.deficit += a.weight
	}
	a.deficit--
	v := a.first()
	a.running++
	q.unlink(a, v)
	if a.len() > 0 && a.deficit < 1 {
		q.active = append(q.active[1:], a)
	}
	return v, true
}

// Drain removes and returns all waiting values, in no particular order.
func (q *Queue[T]) Drain() []T {
	var all []T
	for v := range q.owner {
		all = append(all, v)
	}
	for _, v := range all {
		q.Remove(v)
	}
	return all
}

// Remove removes a value whose request no longer waits. It returns false if the value
// was not in the queue.
func (q *Queue[T]) Remove(v T) bool {
	a, ok := q.owner[v]
	if !ok {
		return false
	}
	q.unlink(a, v)
	q.evictIdle(a)
	return true
}

// Begin counts a running request of the account that did not have to wait.
func (q *Queue[T]) Begin(from ids.Account, weight units.Weight) { q.account(from, weight).running++ }

// Done counts the end of a request that Pop or Begin counted as running.
func (q *Queue[T]) Done(from ids.Account) {
	if a, ok := q.accounts[from]; ok {
		a.running--
		q.evictIdle(a)
	}
}

// Ahead estimates how many waiting values would be popped before a new one.
func (q *Queue[T]) Ahead(from ids.Account, weight units.Weight, p settings.Patience) int {
	own := 0
	if a, ok := q.accounts[from]; ok {
		for u := 0; u <= urgencyOf(p); u++ {
			own += len(a.waiting[u])
		}
	}
	rounds := own/max(int(weight), 1) + 1
	ahead := own
	for _, a := range q.active {
		if a.id != from {
			ahead += min(a.len(), rounds*a.weight)
		}
	}
	return ahead
}

// Running returns the number of running requests.
func (q *Queue[T]) Running() int {
	n := 0
	for _, a := range q.accounts {
		n += a.running
	}
	return n
}

func (q *Queue[T]) account(id ids.Account, weight units.Weight) *account[T] {
	if q.accounts == nil {
		q.accounts = map[ids.Account]*account[T]{}
	}
	a, ok := q.accounts[id]
	if !ok {
		a = &account[T]{id: id}
		q.accounts[id] = a
	}
	a.weight = max(int(weight), 1)
	return a
}

// mostOverShare returns the account with the highest usage for its weight, the arriving
// value counted. Apart from the arriving account only those with waiting values are
// compared, since others have none to shed.
func (q *Queue[T]) mostOverShare(arriving *account[T]) *account[T] {
	worst := arriving
	for _, a := range q.active {
		if a.usage(arriving)*worst.weight > worst.usage(arriving)*a.weight {
			worst = a
		}
	}
	return worst
}

// usage returns the account's waiting and running requests, and counts one more if it is
// the arriving account.
func (a *account[T]) usage(arriving *account[T]) int {
	n := a.len() + a.running
	if a == arriving {
		n++
	}
	return n
}

// unlink removes a waiting value from its account, and an account without waiting
// values from the active list.
func (q *Queue[T]) unlink(a *account[T], v T) {
	delete(q.owner, v)
	for u := range a.waiting {
		if i := slices.Index(a.waiting[u], v); i >= 0 {
			a.waiting[u] = slices.Delete(a.waiting[u], i, i+1)
		}
	}
	if a.len() == 0 {
		a.deficit = 0
		q.active = slices.DeleteFunc(q.active, func(other *account[T]) bool { return other == a })
	}
}

// evictIdle removes an account without waiting or running requests.
func (q *Queue[T]) evictIdle(a *account[T]) {
	if a.len() == 0 && a.running <= 0 {
		delete(q.accounts, a.id)
	}
}

func (a *account[T]) len() int {
	n := 0
	for _, w := range a.waiting {
		n += len(w)
	}
	return n
}

// first returns the oldest of the most urgent values.
func (a *account[T]) first() T {
	for _, w := range a.waiting {
		if len(w) > 0 {
			return w[0]
		}
	}
	var none T
	return none
}

// last returns the newest of the least urgent values.
func (a *account[T]) last() T {
	for u := urgencyLevels - 1; u >= 0; u-- {
		if w := a.waiting[u]; len(w) > 0 {
			return w[len(w)-1]
		}
	}
	var none T
	return none
}

// hasLessUrgent reports whether a less urgent value waits.
func (a *account[T]) hasLessUrgent(urgency int) bool {
	for u := urgency + 1; u < urgencyLevels; u++ {
		if len(a.waiting[u]) > 0 {
			return true
		}
	}
	return false
}

// Consistent reports whether the counters agree with each other. It is for invariant
// checks and tests.
func (q *Queue[T]) Consistent() bool {
	n := 0
	for _, a := range q.accounts {
		if a.running < 0 {
			return false
		}
		n += a.len()
	}
	return n == len(q.owner) && n <= max(q.Limit, 0)
}
