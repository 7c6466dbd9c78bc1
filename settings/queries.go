package settings

import (
	"fmt"
	"maps"
	"slices"
)

// Origin says where an effective value comes from.
type Origin struct {
	// Path is the node whose value is in force, empty for the default. For a
	// union it is the nearest node that adds to it.
	Path string `json:"path,omitempty"`
	// Paths lists every node that adds to a union.
	Paths   []string `json:"paths,omitempty"`
	Default bool     `json:"default,omitempty"`
	// Inherited is true when the value comes from another node or the default.
	Inherited bool `json:"inherited,omitempty"`
}

// Effective returns the value of a key that is in force at a path, and the
// node it comes from. The path need not be a node of its own: a service's
// rules for an account, or in a failure domain, exist without one.
func (t *Tree) Effective(path, key string) (Value, Origin, error) {
	at, ok := parsePath(path)
	if !ok {
		return Value{}, Origin{}, Problem{Code: BadPath, Path: shorten(path), Message: "not the path of a node", Accepted: acceptedPaths()}
	}
	k, ok := schemaByName[key]
	if !ok {
		return Value{}, Origin{}, Problem{Code: UnknownKey, Path: path, Key: shorten(key), Message: "unknown key", Accepted: keysAt(at.kind)}
	}
	if !t.exists(at) {
		return Value{}, Origin{}, *noNode(path)
	}
	v, o := t.effective(at.chain(), k)
	return v, o, nil
}

// exists reports whether a location is a node, or combines existing ones.
func (t *Tree) exists(at location) bool {
	has := func(path string) bool { return t.nodes[path] != nil }
	switch at.kind {
	case NodeServiceAccount:
		return has(ServicePath(at.first)) && has(AccountPath(at.second))
	case NodeDomainService:
		return has(ServicePath(at.second))
	case NodeGroups, NodeDomain:
		return true
	}
	return has(at.path)
}

// effective merges the values of a chain of paths, the nearest first.
func (t *Tree) effective(chain []string, k *Key) (Value, Origin) {
	switch k.Merge {
	case MergeLimit:
		return t.smallest(chain, k)
	case MergeUnion:
		return t.union(chain, k)
	}
	for _, path := range chain {
		if v, ok := t.nodes[path][k.Name]; ok {
			return v, Origin{Path: path, Inherited: path != chain[0]}
		}
	}
	return k.Default, Origin{Default: true, Inherited: true}
}

// smallest returns the smallest limit of the chain; the nearest of equals.
func (t *Tree) smallest(chain []string, k *Key) (Value, Origin) {
	best, origin := k.Default, Origin{Default: true, Inherited: true}
	for _, path := range chain {
		v, ok := t.nodes[path][k.Name]
		if ok && (origin.Default || exceeds(best, v)) {
			best, origin = v, Origin{Path: path, Inherited: path != chain[0]}
		}
	}
	return best, origin
}

// exceeds reports whether limit a is larger than limit b; 0 is no limit.
func exceeds(a, b Value) bool {
	return b.number != 0 && (a.number == 0 || a.number > b.number)
}

func (t *Tree) union(chain []string, k *Key) (Value, Origin) {
	var items []string
	var origin Origin
	for _, path := range chain {
		v, ok := t.nodes[path][k.Name]
		if !ok {
			continue
		}
		origin.Paths = append(origin.Paths, path)
		items = append(items, v.list...)
	}
	if len(origin.Paths) == 0 {
		return k.Default, Origin{Default: true, Inherited: true}
	}
	slices.Sort(items)
	origin.Path = origin.Paths[0]
	origin.Inherited = origin.Path != chain[0]
	return List(slices.Compact(items)...), origin
}

// Setting is a key with its effective value at a node.
type Setting struct {
	Key    string `json:"key"`
	Value  Value  `json:"value"`
	Origin Origin `json:"origin"`
}

// Explain returns the effective value of every key that may stand at a path.
func (t *Tree) Explain(path string) ([]Setting, error) {
	at, ok := parsePath(path)
	if !ok {
		return nil, Problem{Code: BadPath, Path: shorten(path), Message: "not the path of a node", Accepted: acceptedPaths()}
	}
	if !t.exists(at) {
		return nil, *noNode(path)
	}
	chain := at.chain()
	var out []Setting
	for i := range schema {
		if schema[i].Nodes&at.kind != 0 {
			v, o := t.effective(chain, &schema[i])
			out = append(out, Setting{Key: schema[i].Name, Value: v, Origin: o})
		}
	}
	return out, nil
}

// Difference is a setting that two trees set differently. A Difference without
// a key is a node that only one of them has.
type Difference struct {
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Before Value  `json:"before,omitzero"`
	After  Value  `json:"after,omitzero"`
	// Added and Removed mark a whole node.
	Added   bool `json:"added,omitempty"`
	Removed bool `json:"removed,omitempty"`
}

// Diff lists what differs from tree a to tree b, in order of path and key.
func Diff(a, b *Tree) []Difference {
	var out []Difference
	for _, path := range unionKeys(a.nodes, b.nodes) {
		before, inA := a.nodes[path]
		after, inB := b.nodes[path]
		if inA != inB {
			out = append(out, Difference{Path: path, Added: inB, Removed: inA})
		}
		for _, key := range unionKeys(before, after) {
			if v, w := before[key], after[key]; !v.Equal(w) {
				out = append(out, Difference{Path: path, Key: key, Before: v, After: w})
			}
		}
	}
	return out
}

func unionKeys[V any](a, b map[string]V) []string {
	keys := slices.Collect(maps.Keys(a))
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// OpsBetween returns ops that lead from tree a to tree b.
func OpsBetween(a, b *Tree) []Op {
	ops := []Op{}
	removed := map[string]bool{}
	for _, d := range Diff(a, b) {
		if removed[d.Path] || removed[parentPath(d.Path)] {
			continue
		}
		switch {
		case d.Removed:
			removed[d.Path] = true
			ops = append(ops, Op{Op: OpDelete, Path: d.Path})
		case d.Added:
			ops = append(ops, Op{Op: OpSet, Path: d.Path})
		case d.After.IsSet():
			ops = append(ops, Op{Op: OpSet, Path: d.Path, Key: d.Key, Value: d.After})
		default:
			ops = append(ops, Op{Op: OpReset, Path: d.Path, Key: d.Key})
		}
	}
	return ops
}

// Tree returns the newest revision.
func (s *Store) Tree() *Tree { return s.tree }

// Revision returns the number of the newest revision.
func (s *Store) Revision() uint64 { return s.tree.revision }

// OldestRevision returns the oldest revision that Diff, TreeAt and Rollback
// can reach.
func (s *Store) OldestRevision() uint64 { return s.tree.revision - uint64(len(s.history)) }

// History returns the accepted changes after a revision, as far back as they
// are kept, the oldest first. The records must not be changed.
func (s *Store) History(after uint64) []Record {
	oldest := s.OldestRevision()
	if after >= s.tree.revision {
		return nil
	}
	return slices.Clone(s.history[max(after, oldest)-oldest:])
}

// Since returns the records that lead from a revision to the newest one, and
// false when the revision is older than the history or newer than the store.
func (s *Store) Since(revision uint64) ([]Record, bool) {
	if revision < s.OldestRevision() || revision > s.tree.revision {
		return nil, false
	}
	return s.History(revision), true
}

// TreeAt returns the tree of an earlier revision.
func (s *Store) TreeAt(revision uint64) (*Tree, error) {
	if revision == s.tree.revision {
		return s.tree, nil
	}
	records, ok := s.Since(revision)
	if !ok {
		return nil, s.revisionProblem(revision)
	}
	var undo []Op
	for _, r := range slices.Backward(records) {
		undo = append(undo, r.Undo...)
	}
	t, problem := s.tree.trusted(revision, undo)
	if problem != nil {
		return nil, fmt.Errorf("undo to revision %d: %w", revision, *problem)
	}
	return t, nil
}

func (s *Store) revisionProblem(revision uint64) Problem {
	return Problem{
		Code:     BadChange,
		Message:  fmt.Sprintf("revision %d is not kept", revision),
		Accepted: fmt.Sprintf("a revision from %d to %d", s.OldestRevision(), s.tree.revision),
	}
}

// Diff lists what differs from revision a to revision b.
func (s *Store) Diff(a, b uint64) ([]Difference, error) {
	before, err := s.TreeAt(a)
	if err != nil {
		return nil, err
	}
	after, err := s.TreeAt(b)
	if err != nil {
		return nil, err
	}
	return Diff(before, after), nil
}

// Rollback returns the ops of a change that restores an earlier revision.
func (s *Store) Rollback(revision uint64) ([]Op, error) {
	t, err := s.TreeAt(revision)
	if err != nil {
		return nil, err
	}
	return OpsBetween(s.tree, t), nil
}
