package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model is a simple reference implementation of the store: it keeps a full copy
// of every revision and computes each effective value from scratch.
type model struct {
	revisions []map[string]map[string]Value
}

func newModel() *model { return &model{revisions: []map[string]map[string]Value{{"/": {}}}} }

func (m *model) newest() map[string]map[string]Value { return m.revisions[len(m.revisions)-1] }

func copyNodes(in map[string]map[string]Value) map[string]map[string]Value {
	out := map[string]map[string]Value{}
	for path, values := range in {
		out[path] = maps.Clone(values)
	}
	return out
}

// accept adds a revision and returns true if the ops are valid.
func (m *model) accept(ops []Op) bool {
	next := copyNodes(m.newest())
	for _, op := range ops {
		values, exists := next[op.Path]
		switch {
		case op.Op == OpSet && !exists:
			next[op.Path] = map[string]Value{}
			fallthrough
		case op.Op == OpSet:
			if op.Key != "" {
				next[op.Path][op.Key] = op.Value
			}
		case !exists:
			return false
		case op.Op == OpReset:
			delete(values, op.Key)
		default:
			for path := range next {
				if path == op.Path || len(path) > len(op.Path) && path[:len(op.Path)+1] == op.Path+"/" {
					delete(next, path)
				}
			}
		}
	}
	if !modelValid(next) {
		return false
	}
	m.revisions = append(m.revisions, next)
	return true
}

func modelValid(nodes map[string]map[string]Value) bool {
	if nodes["/services/s/accounts/a"] != nil && (nodes["/services/s"] == nil || nodes["/accounts/a"] == nil) {
		return false
	}
	for path, values := range nodes {
		own, ok := values[KeyMaxConcurrent]
		for _, above := range modelChains[path][1:] {
			if bound, set := nodes[above][KeyMaxConcurrent]; ok && set && bound.number > 0 && (own.number == 0 || own.number > bound.number) {
				return false
			}
		}
	}
	return true
}

var modelChains = map[string][]string{
	"/":                      {"/"},
	"/accounts/a":            {"/accounts/a", "/"},
	"/services/s":            {"/services/s", "/groups", "/"},
	"/services/s-1":          {"/services/s-1", "/groups", "/"},
	"/services/s/accounts/a": {"/services/s/accounts/a", "/services/s", "/accounts/a", "/"},
}

func (m *model) effective(path, key string) Value {
	nodes, set := m.newest(), []Value{}
	for _, at := range modelChains[path] {
		if v, ok := nodes[at][key]; ok {
			set = append(set, v)
		}
	}
	if len(set) == 0 {
		return schemaByName[key].Default
	}
	switch key {
	case KeyMaxConcurrent:
		least := set[0]
		for _, v := range set {
			if v.number != 0 && (least.number == 0 || v.number < least.number) {
				least = v
			}
		}
		return least
	case KeyDropHeaders:
		var all []string
		for _, v := range set {
			all = append(all, v.list...)
		}
		slices.Sort(all)
		return List(slices.Compact(all)...)
	}
	return set[0]
}

func drawOp(t *rapid.T) Op {
	path := rapid.SampledFrom(slices.Sorted(maps.Keys(modelChains))).Draw(t, "path")
	kind := rapid.SampledFrom([]OpKind{OpSet, OpSet, OpSet, OpReset, OpDelete}).Draw(t, "op")
	keys := []string{KeyMaxConcurrent}
	switch path {
	case "/":
		keys = append(keys, KeyWeight, KeyDropHeaders, KeyMaxBodyBytes)
	case "/accounts/a", "/services/s/accounts/a":
		keys = append(keys, KeyWeight)
	default:
		keys = append(keys, KeyDropHeaders, KeyMaxBodyBytes)
	}
	op := Op{Op: kind, Path: path}
	if kind == OpDelete && path != "/" {
		return op
	}
	op.Key = rapid.SampledFrom(keys).Draw(t, "key")
	if kind == OpDelete {
		op.Op = OpReset
	}
	if op.Op == OpSet {
		op.Value = Number(float64(rapid.IntRange(1, 5).Draw(t, "value")))
		switch {
		case op.Key == KeyDropHeaders:
			op.Value = List(rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"A", "B", "C"}), 0, 3, rapid.ID).Draw(t, "items")...)
		case op.Key == KeyMaxConcurrent:
			op.Value.number = op.Value.number - 1
		}
	}
	return op
}

// Guards against an accepted change being lost or applied twice, a revision
// that decreases, a snapshot that differs from a replay of the same changes,
// and an effective value that differs from the model's.
func TestStoreProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, m := New(), newModel()
		var sent []Change
		first := map[string]Result{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := s.Revision()
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action == 0:
				data, err := s.Snapshot()
				require.NoError(t, err)
				s = New()
				require.NoError(t, s.Restore(data))
				again, err := s.Snapshot()
				require.NoError(t, err)
				require.Equal(t, string(data), string(again))
			case action <= 2 && len(sent) > 0:
				c := rapid.SampledFrom(sent).Draw(t, "resent")
				c.At = c.At.Add(time.Minute)
				r := s.Apply(c)
				want := first[c.ID]
				want.First, want.Code = want.Code, Duplicate
				requireSameJSON(t, want, r)
			default:
				base := before - uint64(rapid.IntRange(0, int(min(before, 2))).Draw(t, "behind"))
				c := Change{ID: fmt.Sprint("c", i), Base: base, At: time.Unix(int64(i), 0).UTC(), Ops: rapid.SliceOfN(rapid.Custom(drawOp), 1, 4).Draw(t, "ops")}
				r := s.Apply(c)
				sent, first[c.ID] = append(sent, c), r
				switch {
				case base != before:
					require.Equal(t, Conflicting, r.Code)
					require.NotEmpty(t, r.Conflicts)
				case m.accept(c.Ops):
					require.Equal(t, Applied, r.Code, "%v", r.Errors)
				default:
					require.Equal(t, Invalid, r.Code)
				}
			}
			require.GreaterOrEqual(t, s.Revision(), before)
			requireModel(t, m, s)
		}
		requireReplay(t, s, sent)
		requireOldRevisions(t, m, s)
	})
}

func requireSameJSON(t require.TestingT, want, got any) {
	w, err := json.Marshal(want)
	require.NoError(t, err)
	g, err := json.Marshal(got)
	require.NoError(t, err)
	require.Equal(t, string(w), string(g))
}

func requireModel(t require.TestingT, m *model, s *Store) {
	require.Equal(t, uint64(len(m.revisions)-1), s.Revision())
	requireSameJSON(t, m.newest(), s.Tree().nodes)
	for path := range modelChains {
		at, _ := parsePath(path)
		if !s.Tree().exists(at) {
			continue
		}
		values := m.newest()[path]
		for _, key := range []string{KeyMaxConcurrent, KeyWeight, KeyDropHeaders, KeyMaxBodyBytes} {
			got, origin, err := s.Tree().Effective(path, key)
			require.NoError(t, err)
			require.True(t, m.effective(path, key).Equal(got), "%s %s: %s", path, key, got)
			if own, ok := values[key]; ok && key != KeyDropHeaders && own.Equal(got) {
				require.Equal(t, Origin{Path: path}, origin)
			}
		}
	}
}

func requireReplay(t require.TestingT, s *Store, sent []Change) {
	replay := New()
	follower := Empty()
	for _, c := range sent {
		data, err := EncodeChange(c)
		require.NoError(t, err)
		decoded, err := DecodeChange(data)
		require.NoError(t, err)
		if r := replay.Apply(decoded); r.Code == Applied {
			follower, err = follower.Advance(replay.History(r.Revision - 1)[0])
			require.NoError(t, err)
		}
	}
	want, err := replay.Snapshot()
	require.NoError(t, err)
	got, err := s.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	requireSameJSON(t, s.Tree(), follower)
}

func requireOldRevisions(t require.TestingT, m *model, s *Store) {
	for revision, nodes := range m.revisions {
		old, err := s.TreeAt(uint64(revision))
		require.NoError(t, err)
		requireSameJSON(t, nodes, old.nodes)
		ops, err := s.Rollback(uint64(revision))
		require.NoError(t, err)
		if len(ops) > 0 {
			back, problems := s.Tree().applyValidated(0, ops)
			require.Empty(t, problems)
			requireSameJSON(t, nodes, back.nodes)
		}
	}
}

// Guards against one id being accepted for two changes, against a conflict that
// does not identify the earlier change, and against rejected changes evicting
// the results of accepted ones.
func TestStoreResults(t *testing.T) {
	s := New()
	set := func(id string, base uint64, path, key string, v Value) Result {
		return s.Apply(Change{ID: id, Base: base, Author: id, Ops: []Op{{Op: OpSet, Path: path, Key: key, Value: v}}})
	}
	require.Equal(t, Applied, set("one", 0, "/accounts/a", KeyWeight, Number(2)).Code)
	r := set("one", 0, "/accounts/a", KeyWeight, Number(3))
	require.Equal(t, Invalid, r.Code)
	require.Equal(t, BadChange, r.Errors[0].Code)
	r = set("two", 0, "/accounts/a", KeyWeight, Number(3))
	require.Equal(t, Conflicting, r.Code)
	require.Equal(t, []Conflict{{Revision: 1, ID: "one", Author: "one", Path: "/accounts/a", Key: KeyWeight, Overlaps: true}}, r.Conflicts)
	require.False(t, set("three", 0, "/accounts/b", KeyWeight, Number(3)).Conflicts[0].Overlaps)
	require.Equal(t, "base", set("ahead", 9, "/accounts/b", KeyWeight, Number(3)).Errors[0].Key)
	for i := range 2 * maxRejectedResults {
		set(fmt.Sprint("refused", i), 0, "/accounts/a", KeyWeight, Number(3))
	}
	require.Equal(t, Duplicate, set("one", 0, "/accounts/a", KeyWeight, Number(2)).Code)
	require.Len(t, s.rejected, maxRejectedResults)
}

// Guards against change ids being evicted too early, and against results and
// history growing without bound.
func TestStoreBounds(t *testing.T) {
	s := New()
	ops := []Op{{Op: OpSet, Path: "/", Key: KeyWeight, Value: Number(2)}}
	for i := range MaxAcceptedIDs + 10 {
		s.Apply(Change{ID: fmt.Sprint(i), Base: uint64(i), Ops: ops})
	}
	require.Len(t, s.accepted, MaxAcceptedIDs)
	require.Len(t, s.History(0), maxHistoryRecords)
	require.Equal(t, Duplicate, s.Apply(Change{ID: "10", Base: 10, Ops: ops}).Code)
	_, kept := s.Since(s.OldestRevision() - 1)
	require.False(t, kept)
}

func BenchmarkApply(b *testing.B) {
	for _, nodes := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(nodes, "-nodes"), func(b *testing.B) {
			s := New()
			ops := []Op{}
			for i := range nodes {
				ops = append(ops, Op{Op: OpSet, Path: AccountPath(fmt.Sprint("a", i)), Key: KeyWeight, Value: Number(2)})
			}
			require.Equal(b, Applied, s.Apply(Change{ID: "nodes", Ops: ops}).Code)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Apply(Change{ID: fmt.Sprint(i), Base: s.Revision(), Ops: ops[:1]})
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	s := New()
	ops := []Op{{Op: OpSet, Path: "/", Key: KeyWeight, Value: Number(2)}}
	for i := range MaxAcceptedIDs {
		s.Apply(Change{ID: fmt.Sprintf("01a2b3c4-0000-7000-8000-%012d", i), Base: uint64(i), Author: "operator", Ops: ops})
	}
	var before, after runtime.MemStats
	data, err := s.Snapshot()
	require.NoError(b, err)
	s = New()
	runtime.GC()
	runtime.ReadMemStats(&before)
	require.NoError(b, s.Restore(data))
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		data, err = s.Snapshot()
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
}
