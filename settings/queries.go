package settings

import (
	"fmt"
	"maps"
	"slices"
)

// Origin identifies the source of an effective value.
type Origin struct {
	// Path is the node that sets the value, empty for the default. For a union
	// it is the nearest node that contributes items.
	Path string `json:"path,omitempty"`
	// Paths lists every node that contributes items to a union.
	Paths   []string `json:"paths,omitempty"`
	Default bool     `json:"default,omitempty"`
	// Inherited is true if the value comes from another node or the default.
	Inherited bool `json:"inherited,omitempty"`
}

// Effective returns the effective value of a key at a path, and its origin. The
// path need not be a node of the tree: the settings of a service for an account
// or in a failure domain are then all inherited.
func (t *Tree) Effective(path, key string) (Value, Origin, error) {
	loc, ok := parsePath(path)
	if !ok {
		return Value{}, Origin{}, Problem{Code: BadPath, Path: truncate(path), Message: "not the path of a node", Accepted: acceptedPaths()}
	}
	k, ok := schemaByName[key]
	if !ok {
		return Value{}, Origin{}, Problem{Code: UnknownKey, Path: path, Key: truncate(key), Message: "unknown key", Accepted: acceptedKeys(loc.kind)}
	}
	if !t.exists(loc) {
		return Value{}, Origin{}, *nodeNotFound(path)
	}
	v, o := t.effective(loc.inheritanceChain(), k)
	return v, o, nil
}

// exists reports whether settings can be resolved at a location: it is a node,
// or the nodes that it combines exist.
func (t *Tree) exists(loc location) bool {
	has := func(path string) bool { return t.nodes[path] != nil }
	switch loc.kind {
	case NodeServiceAccount:
		return has(ServicePath(loc.id)) && has(AccountPath(loc.childID))
	case NodeDomainService:
		return has(ServicePath(loc.childID))
	case NodeGroups, NodeDomain:
		return true
	}
	return has(loc.path)
}

// effective merges the values of a key along an inheritance chain, which lists
// the nearest node first.
func (t *Tree) effective(chain []string, k *Key) (Value, Origin) {
	switch k.Merge {
	case MergeLimit:
		return t.mergeLimit(chain, k)
	case MergeUnion:
		return t.mergeUnion(chain, k)
	}
	for _, path := range chain {
		if v, ok := t.nodes[path][k.Name]; ok {
			return v, Origin{Path: path, Inherited: path != chain[0]}
		}
	}
	return k.Default, Origin{Default: true, Inherited: true}
}

// mergeLimit returns the smallest limit of the chain. If several nodes set it,
// the origin is the nearest one.
func (t *Tree) mergeLimit(chain []string, k *Key) (Value, Origin) {
	best, origin := k.Default, Origin{Default: true, Inherited: true}
	for _, path := range chain {
		v, ok := t.nodes[path][k.Name]
		if ok && (origin.Default || exceedsLimit(best, v)) {
			best, origin = v, Origin{Path: path, Inherited: path != chain[0]}
		}
	}
	return best, origin
}

// exceedsLimit reports whether limit a is larger than limit b. The value 0
// means no limit.
func exceedsLimit(a, b Value) bool {
	return b.number != 0 && (a.number == 0 || a.number > b.number)
}

func (t *Tree) mergeUnion(chain []string, k *Key) (Value, Origin) {
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

// Explain returns the effective value of every key that is valid at a path.
func (t *Tree) Explain(path string) ([]Setting, error) {
	loc, ok := parsePath(path)
	if !ok {
		return nil, Problem{Code: BadPath, Path: truncate(path), Message: "not the path of a node", Accepted: acceptedPaths()}
	}
	if !t.exists(loc) {
		return nil, *nodeNotFound(path)
	}
	chain := loc.inheritanceChain()
	var out []Setting
	for i := range schema {
		if schema[i].Nodes&loc.kind != 0 {
			v, o := t.effective(chain, &schema[i])
			out = append(out, Setting{Key: schema[i].Name, Value: v, Origin: o})
		}
	}
	return out, nil
}

// Difference is a difference between two trees: a setting with different
// values, or, without a key, a node that exists in only one of them.
type Difference struct {
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Before Value  `json:"before,omitzero"`
	After  Value  `json:"after,omitzero"`
	// Added and Removed are set only for nodes.
	Added   bool `json:"added,omitempty"`
	Removed bool `json:"removed,omitempty"`
}

// Diff returns the differences from tree a to tree b, sorted by path and key.
func Diff(a, b *Tree) []Difference {
	var out []Difference
	for _, path := range sortedKeyUnion(a.nodes, b.nodes) {
		before, inA := a.nodes[path]
		after, inB := b.nodes[path]
		if inA != inB {
			out = append(out, Difference{Path: path, Added: inB, Removed: inA})
		}
		for _, key := range sortedKeyUnion(before, after) {
			if v, w := before[key], after[key]; !v.Equal(w) {
				out = append(out, Difference{Path: path, Key: key, Before: v, After: w})
			}
		}
	}
	return out
}

func sortedKeyUnion[V any](a, b map[string]V) []string {
	keys := slices.Collect(maps.Keys(a))
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// OpsBetween returns the ops that change tree a into tree b.
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

// OldestRevision returns the oldest revision that the history can reconstruct,
// and so the oldest one that Diff, TreeAt and Rollback accept.
func (s *Store) OldestRevision() uint64 { return s.tree.revision - uint64(len(s.history)) }

// History returns the retained records of changes after a revision, oldest
// first. The caller must not modify the records.
func (s *Store) History(after uint64) []Record {
	oldest := s.OldestRevision()
	if after >= s.tree.revision {
		return nil
	}
	return slices.Clone(s.history[max(after, oldest)-oldest:])
}

// Since returns the records after a revision, oldest first. It returns false if
// the revision is older than the history or newer than the store.
func (s *Store) Since(revision uint64) ([]Record, bool) {
	if revision < s.OldestRevision() || revision > s.tree.revision {
		return nil, false
	}
	return s.History(revision), true
}

// TreeAt reconstructs the tree of a retained revision.
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
	t, problem := s.tree.applyUnvalidated(revision, undo)
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

// Diff returns the differences from revision a to revision b.
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

// Rollback returns the ops that restore an earlier revision.
func (s *Store) Rollback(revision uint64) ([]Op, error) {
	t, err := s.TreeAt(revision)
	if err != nil {
		return nil, err
	}
	return OpsBetween(s.tree, t), nil
}
