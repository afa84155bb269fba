package replay_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
)

const (
	rootHash ids.Hash = "00000000000000000000000000000000000000000000000000000000000000aa"
	teamHash ids.Hash = "00000000000000000000000000000000000000000000000000000000000000bb"
	keyHash  ids.Hash = "00000000000000000000000000000000000000000000000000000000000000cc"
)

type values = map[string]string

func edit(id ids.Edit, path ids.Path, base ids.Offset, v values) record.Edit {
	return record.Edit{ID: id, Path: path, Base: base, Credential: teamHash, Values: v}
}

func remove(id ids.Edit, path ids.Path, base ids.Offset) record.Edit {
	return record.Edit{ID: id, Path: path, Base: base, Credential: teamHash, Remove: true}
}

func byRoot(e record.Edit) record.Edit {
	e.Credential = rootHash
	return e
}

// start creates the root team at offset 1 and the team andrade at offset 2.
func start() []record.Record {
	return []record.Record{
		edit("s1", "teams/root", 0, values{"credential": string(rootHash)}),
		byRoot(edit("s2", "teams/andrade", 0, values{"credential": string(teamHash)})),
	}
}

func apply(s *replay.State, recs ...record.Record) replay.Outcome {
	var out replay.Outcome
	for _, r := range recs {
		out = s.Apply(s.Offset()+1, r)
	}
	return out
}

func TestApply(t *testing.T) {
	key := func(id ids.Edit, name string, base ids.Offset, account string) record.Edit {
		return edit(id, ids.Path("teams/andrade/keys/"+name), base, values{"hash": string(keyHash), "account": account})
	}
	route := func(id ids.Edit, name string) record.Edit {
		return edit(id, ids.Path("teams/andrade/routes/"+name), 0, values{"prefix": "/q", "service": "quotes"})
	}
	const school = "teams/andrade/accounts/school"
	cases := []struct {
		name string
		recs []record.Record
		want replay.Outcome
	}{
		{"first section", []record.Record{edit("a", school, 0, nil)}, replay.Accepted{Version: 3}},
		{"stale base", []record.Record{edit("a", school, 0, nil), edit("b", school, 0, nil)}, replay.Conflict{Current: 3}},
		{"base of a section that is gone", []record.Record{edit("a", school, 0, nil), remove("b", school, 3), edit("c", school, 3, nil)}, replay.Conflict{}},
		{"same id again", []record.Record{edit("a", school, 0, nil), edit("a", school, 3, nil)}, replay.Duplicate{}},
		{"other team's credential", []record.Record{byRoot(edit("a", school, 0, nil))}, replay.Denied{Reason: "the credential is not the team's"}},
		{"unknown team", []record.Record{edit("a", "teams/x/accounts/y", 0, nil)}, replay.Denied{Reason: "the team does not exist"}},
		{"bad path", []record.Record{edit("a", "teams/andrade/keys/a b", 0, nil)}, replay.Denied{Reason: "the path names no section"}},
		{"root again without its credential", []record.Record{edit("a", "teams/root", 1, nil)}, replay.Denied{Reason: "only the root credential edits a team's own section"}},
		{"remove root", []record.Record{byRoot(remove("a", "teams/root", 1))}, replay.Invalid{Reason: "the root team can't be removed"}},
		{"remove team in use", []record.Record{edit("a", school, 0, nil), byRoot(remove("b", "teams/andrade", 2))}, replay.Invalid{Reason: "the team still has 1 sections"}},
		{"remove empty team", []record.Record{edit("a", school, 0, nil), remove("b", school, 3), byRoot(remove("c", "teams/andrade", 2))}, replay.Accepted{Version: 5}},
		{"second section with a key's hash", []record.Record{key("a", "one", 0, "school"), key("b", "two", 0, "other")}, replay.Invalid{Reason: "another section holds the same hash"}},
		{"key moves to another section", []record.Record{key("a", "one", 0, "school"), remove("b", "teams/andrade/keys/one", 3), key("c", "two", 0, "other")}, replay.Accepted{Version: 5}},
		{"key moves to another account", []record.Record{key("a", "one", 0, "school"), key("b", "one", 3, "other")}, replay.Accepted{Version: 4}},
		{"route at a place that is taken", []record.Record{route("a", "one"), route("b", "two")}, replay.Invalid{Reason: `route "andrade/one" has the same host and prefix`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s replay.State
			apply(&s, start()...)
			must.Eq(t, c.want, apply(&s, c.recs...))
		})
	}
}

func TestValuesThatAreNotNumbers(t *testing.T) {
	for _, rate := range []string{"NaN", "Inf", "-1", "0", "x"} {
		var s replay.State
		apply(&s, start()...)
		out := apply(&s, edit("a", "teams/andrade/accounts/school", 0, values{"rate": rate}))
		_, ok := out.(replay.Invalid)
		must.True(t, ok, must.Sprintf("rate %s gives %#v", rate, out))
	}
}

// A key belongs to the account that its section names, and is withdrawn with the
// section.
func TestKeyFollowsSection(t *testing.T) {
	var s replay.State
	apply(&s, start()...)
	apply(&s, edit("a", "teams/andrade/keys/one", 0, values{"hash": string(keyHash), "account": "school"}))
	apply(&s, edit("b", "teams/andrade/keys/one", 3, values{"hash": string(keyHash), "account": "other"}))
	a, ok := s.AccountByKey(keyHash)
	must.True(t, ok)
	must.EqOp(t, "andrade/other", a)
	apply(&s, remove("c", "teams/andrade/keys/one", 4))
	_, ok = s.AccountByKey(keyHash)
	must.False(t, ok)
}

func TestGapChangesNothing(t *testing.T) {
	var s replay.State
	apply(&s, start()...)
	must.Eq(t, replay.Outcome(replay.Gap{Next: 3}), s.Apply(4, edit("a", "teams/andrade/accounts/x", 0, nil)))
	must.EqOp(t, 2, s.Offset())
}

// load passes the parts of a state through a Loader, last part first and each of
// them twice.
func load(t must.T, f *replay.Frozen) *replay.State {
	t.Helper()
	var l replay.Loader
	for i := f.Parts() - 1; i >= 0; i-- {
		part, ok := f.Part(i)
		must.True(t, ok)
		if i > 0 {
			s, err := l.Add(part)
			must.NoError(t, err)
			must.Nil(t, s)
		}
		s, err := l.Add(part)
		must.NoError(t, err)
		if s != nil {
			return s
		}
	}
	must.Unreachable(t)
	return nil
}

// A snapshot is loaded only when it is complete and its content matches its digest.
func TestSnapshotParts(t *testing.T) {
	var s replay.State
	apply(&s, start()...)
	for i := range 2 * record.PartSections {
		apply(&s, edit(ids.Edit(fmt.Sprint(i)), ids.Path(fmt.Sprintf("teams/andrade/accounts/a%d", i)), 0, nil))
	}
	f := s.Freeze()
	apply(&s, remove("late", "teams/andrade/accounts/a0", 3))
	must.EqOp(t, 3, f.Parts())
	loaded := load(t, f)
	must.EqOp(t, s.Offset()-1, loaded.Offset())
	apply(loaded, remove("late", "teams/andrade/accounts/a0", 3))
	must.EqOp(t, s.Digest(), loaded.Digest())

	var l replay.Loader
	for i := range f.Parts() {
		part, _ := f.Part(i)
		if i == 2 {
			part.Sections[0].Version++
		}
		_, err := l.Add(part)
		if i == 2 {
			must.ErrorContains(t, err, "digest")
		}
	}
}

// randomEdit draws edits that often collide: few paths, ids, hashes and bases.
func randomEdit(t *rapid.T, at int) record.Record {
	names := []string{"one", "two", "three"}
	team := rapid.SampledFrom([]string{"root", "andrade", "other"}).Draw(t, "team")
	name := rapid.SampledFrom(names).Draw(t, "name")
	hash := strings.Repeat(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hash"), 64)
	path, v := "teams/"+team, values{"credential": hash}
	switch rapid.SampledFrom([]string{"team", "keys", "routes", "accounts"}).Draw(t, "kind") {
	case "keys":
		path, v = path+"/keys/"+name, values{"hash": hash, "account": name}
	case "routes":
		path, v = path+"/routes/"+name, values{"service": name, "prefix": "/" + name[:1]}
	case "accounts":
		path, v = path+"/accounts/"+name, values{"rate": rapid.SampledFrom([]string{"1", "2.5", "-1"}).Draw(t, "rate")}
	}
	return record.Edit{
		ID: ids.Edit(fmt.Sprint(rapid.IntRange(0, 2*at+1).Draw(t, "id"))), Path: ids.Path(path), Values: v,
		Base:       ids.Offset(rapid.IntRange(0, at).Draw(t, "base")),
		Credential: ids.Hash(strings.Repeat(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "credential"), 64)),
		Remove:     rapid.IntRange(0, 4).Draw(t, "remove") == 0,
	}
}

// The state depends on the records alone: neither on how often they are read nor on
// whether it started from a snapshot.
func TestSameRecordsSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "records")
		cut := ids.Offset(rapid.IntRange(0, n).Draw(t, "cut"))
		var all replay.State
		var recs []record.Record
		var frozen *replay.Frozen
		for i := range n {
			if all.Offset() == cut {
				frozen = all.Freeze()
			}
			recs = append(recs, draw(t, &all, i))
			all.Apply(all.Offset()+1, recs[i])
		}
		if all.Offset() == cut {
			frozen = all.Freeze()
		}
		late := load(t, frozen)
		must.True(t, all.Supersedes(late))
		for late.Offset() < all.Offset() {
			from := rapid.IntRange(0, int(late.Offset())).Draw(t, "from")
			to := rapid.IntRange(int(late.Offset())+1, n).Draw(t, "to")
			for i := from; i < to; i++ {
				late.Apply(ids.Offset(i+1), recs[i])
			}
		}
		must.EqOp(t, all.Digest(), late.Digest())
		want, _ := all.Freeze().Part(0)
		got, _ := late.Freeze().Part(0)
		must.Eq(t, want, got)
	})
}

// draw returns a random edit; half of them are based on the current version, so
// that many are accepted.
func draw(t *rapid.T, s *replay.State, i int) record.Record {
	if i == 0 {
		return edit("root", "teams/root", 0, values{"credential": strings.Repeat("a", 64)})
	}
	e := randomEdit(t, i).(record.Edit)
	if rapid.Bool().Draw(t, "current") {
		e.Base = s.Version(e.Path)
	}
	return e
}

// The number of retained edits is bounded by their order on the log, and a daemon
// that starts from a snapshot evicts the same edits.
func TestMemoryIsBounded(t *testing.T) {
	var s replay.State
	apply(&s, start()...)
	for i := range 5000 {
		apply(&s, edit(ids.Edit(fmt.Sprint(i)), "teams/andrade/accounts/x", s.Version("teams/andrade/accounts/x"), nil))
	}
	late := load(t, s.Freeze())
	for _, id := range []ids.Edit{"0", "903", "904", "4999"} {
		want, known := s.Outcome(id)
		got, ok := late.Outcome(id)
		must.EqOp(t, known, ok)
		must.Eq(t, want, got)
	}
	_, known := s.Outcome("904")
	must.True(t, known)
	_, known = s.Outcome("903")
	must.False(t, known)
}

// Edits retain the offset that created a section, and the offset since which its
// account has had the same number of quota leaders; both survive a snapshot.
func TestCreatedAndSplit(t *testing.T) {
	const school ids.Path = "teams/andrade/accounts/school"
	limits := func(rate, burst string) values { return values{"rate": rate, "burst": burst} }
	steps := []struct {
		name    string
		edit    record.Edit
		created ids.Offset
		split   ids.Offset
	}{
		{"made", edit("a", school, 0, limits("10", "20")), 3, 3},
		{"other rate", edit("b", school, 3, limits("20", "20")), 3, 3},
		{"other number of holders", edit("c", school, 4, limits("20", "2")), 3, 5},
		{"and back", edit("d", school, 5, limits("20", "20")), 3, 6},
		{"removed", remove("e", school, 6), 0, 0},
		{"made again", edit("f", school, 0, limits("10", "20")), 0, 8},
		{"changed after that", edit("g", school, 8, limits("11", "20")), 0, 8},
	}
	var s replay.State
	apply(&s, start()...)
	for _, step := range steps {
		out := apply(&s, step.edit)
		must.Eq[replay.Outcome](t, replay.Accepted{Version: s.Offset()}, out, must.Sprint(step.name))
		for _, one := range []*replay.State{&s, reload(t, &s)} {
			e, _ := one.Get(school)
			must.EqOp(t, step.created, e.Created, must.Sprint(step.name))
			must.EqOp(t, step.split, e.SplitSince, must.Sprint(step.name))
		}
	}
}

// reload loads a state from its own snapshot.
func reload(t *testing.T, s *replay.State) *replay.State {
	t.Helper()
	var l replay.Loader
	part, ok := s.Freeze().Part(0)
	must.True(t, ok)
	loaded, err := l.Add(part)
	must.NoError(t, err)
	must.EqOp(t, s.Digest(), loaded.Digest())
	return loaded
}
