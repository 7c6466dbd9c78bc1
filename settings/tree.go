package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Tree is one revision of the settings. It never changes.
type Tree struct {
	revision uint64
	// nodes holds the own values of each node by path. The root is always
	// there. Maps of values are shared between revisions and never written.
	nodes map[string]map[string]Value
	views views
}

// Empty returns the tree of revision 0, in which every setting has its default.
func Empty() *Tree {
	t := &Tree{nodes: map[string]map[string]Value{RootPath: {}}}
	t.views = buildViews(t)
	return t
}

// NewTree builds a tree at revision 0 from ops on the empty tree.
func NewTree(ops []Op) (*Tree, []Problem) {
	return Empty().with(0, ops)
}

// Check returns the problems that ops would have on this tree, none when they
// would be accepted.
func (t *Tree) Check(ops []Op) []Problem {
	_, problems := t.with(t.revision+1, ops)
	return problems
}

// Advance returns the tree after a record of the store's history. The record
// must be the one that follows the tree's revision. It was validated when it
// was accepted; keys that this version does not know are kept.
func (t *Tree) Advance(r Record) (*Tree, error) {
	if r.Revision != t.revision+1 {
		return nil, fmt.Errorf("record of revision %d does not follow revision %d", r.Revision, t.revision)
	}
	next, problem := t.trusted(r.Revision, r.Ops)
	if problem != nil {
		return nil, fmt.Errorf("record of revision %d: %w", r.Revision, *problem)
	}
	return next, nil
}

// Follow returns the tree after those of the records that follow its revision,
// and these records. Records that the tree contains already are passed over.
func (t *Tree) Follow(records []Record) (*Tree, []Record, error) {
	next := t
	var taken []Record
	for _, r := range records {
		if r.Revision <= next.revision {
			continue
		}
		advanced, err := next.Advance(r)
		if err != nil {
			return t, nil, err
		}
		next, taken = advanced, append(taken, r)
	}
	return next, taken, nil
}

// Revision returns the number of changes that led to the tree.
func (t *Tree) Revision() uint64 { return t.revision }

// with returns the validated tree after ops, or the problems that they have.
func (t *Tree) with(revision uint64, ops []Op) (*Tree, []Problem) {
	e := editor{nodes: maps.Clone(t.nodes), own: map[string]bool{}}
	var problems []Problem
	for _, op := range ops {
		if p := e.apply(op); p != nil {
			problems = append(problems, *p)
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	next := &Tree{revision: revision, nodes: e.nodes}
	if problems := validate(next); len(problems) > 0 {
		return nil, problems
	}
	next.views = buildViews(next)
	return next, nil
}

// trusted returns the tree after ops that were validated before, perhaps by a
// newer version with more keys.
func (t *Tree) trusted(revision uint64, ops []Op) (*Tree, *Problem) {
	e := editor{nodes: maps.Clone(t.nodes), own: map[string]bool{}, trusted: true}
	for _, op := range ops {
		if p := e.apply(op); p != nil {
			return nil, p
		}
	}
	next := &Tree{revision: revision, nodes: e.nodes}
	next.views = buildViews(next)
	return next, nil
}

// editor applies ops to a copy of a tree's nodes. It copies the values of a
// node before the first write to them.
type editor struct {
	nodes map[string]map[string]Value
	own   map[string]bool
	// trusted ops were validated before.
	trusted bool
}

func (e *editor) apply(op Op) *Problem {
	at, ok := parsePath(op.Path)
	if !ok && !e.trusted {
		return &Problem{Code: BadPath, Path: shorten(op.Path), Message: "not the path of a node", Accepted: acceptedPaths()}
	}
	switch op.Op {
	case OpSet:
		return e.set(at, op)
	case OpReset:
		return e.reset(op)
	case OpDelete:
		return e.remove(at, op)
	}
	return &Problem{Code: BadOp, Path: op.Path, Message: fmt.Sprintf("unknown op %q", shorten(string(op.Op))), Accepted: `"set", "reset" or "delete"`}
}

func (e *editor) set(at location, op Op) *Problem {
	if op.Key == "" {
		if op.Value.IsSet() {
			return &Problem{Code: BadOp, Path: op.Path, Message: "a value without a key", Accepted: "a key, or no value to create the node"}
		}
		e.writable(op.Path)
		return nil
	}
	if p := checkKey(at, op); p != nil && !e.trusted {
		return p
	}
	e.writable(op.Path)[op.Key] = op.Value
	return nil
}

// checkKey returns why a key cannot have a value at a node, nil when it can.
func checkKey(at location, op Op) *Problem {
	key, ok := schemaByName[op.Key]
	if !ok {
		return &Problem{Code: UnknownKey, Path: op.Path, Key: shorten(op.Key), Message: "unknown key", Accepted: keysAt(at.kind)}
	}
	if key.Nodes&at.kind == 0 {
		return &Problem{Code: Misplaced, Path: op.Path, Key: op.Key, Message: "the key does not stand at this node", Accepted: strings.Join(key.Nodes.Forms(), ", ")}
	}
	if reason := key.check(op.Value); reason != "" {
		return &Problem{Code: BadValue, Path: op.Path, Key: op.Key, Message: reason, Accepted: key.AcceptedText()}
	}
	return nil
}

func (e *editor) reset(op Op) *Problem {
	if _, ok := schemaByName[op.Key]; !ok && !e.trusted {
		return &Problem{Code: UnknownKey, Path: op.Path, Key: shorten(op.Key), Message: "unknown key", Accepted: "a key of the settings reference"}
	}
	if _, ok := e.nodes[op.Path]; !ok {
		return noNode(op.Path)
	}
	delete(e.writable(op.Path), op.Key)
	return nil
}

func (e *editor) remove(at location, op Op) *Problem {
	if op.Key != "" {
		return &Problem{Code: BadOp, Path: op.Path, Key: shorten(op.Key), Message: "delete removes a node, not a key", Accepted: `"reset" for a key`}
	}
	if at.kind == NodeRoot {
		return &Problem{Code: BadOp, Path: op.Path, Message: "the root cannot be deleted", Accepted: "the path of a node below the root"}
	}
	if _, ok := e.nodes[op.Path]; !ok {
		return noNode(op.Path)
	}
	for path := range e.nodes {
		if path == op.Path || strings.HasPrefix(path, op.Path+"/") {
			delete(e.nodes, path)
			delete(e.own, path)
		}
	}
	return nil
}

// writable returns the values of a node, which it creates when absent, as a
// map that no other tree shares.
func (e *editor) writable(path string) map[string]Value {
	if !e.own[path] {
		values := maps.Clone(e.nodes[path])
		if values == nil {
			values = map[string]Value{}
		}
		e.nodes[path] = values
		e.own[path] = true
	}
	return e.nodes[path]
}

func noNode(path string) *Problem {
	return &Problem{Code: NoNode, Path: path, Message: "the node does not exist", Accepted: "the path of a node of the tree"}
}

// keysAt lists the keys that may stand at a kind of node.
func keysAt(kind NodeKind) string {
	var names []string
	for i := range schema {
		if schema[i].Nodes&kind != 0 {
			names = append(names, schema[i].Name)
		}
	}
	return strings.Join(names, ", ")
}

// Paths returns the paths of all nodes in order.
func (t *Tree) Paths() []string { return slices.Sorted(maps.Keys(t.nodes)) }

// Own returns a copy of the values that a node sets itself.
func (t *Tree) Own(path string) (map[string]Value, bool) {
	values, ok := t.nodes[path]
	return maps.Clone(values), ok
}

// treeJSON is the encoding of a tree. encoding/json writes maps in key order,
// so equal trees have equal encodings.
type treeJSON struct {
	Revision uint64                      `json:"revision"`
	Nodes    map[string]map[string]Value `json:"nodes"`
}

// MarshalJSON implements json.Marshaler. Equal trees have equal encodings.
func (t *Tree) MarshalJSON() ([]byte, error) {
	return json.Marshal(treeJSON{Revision: t.revision, Nodes: t.nodes})
}

// DecodeTree reads a tree that MarshalJSON wrote.
func DecodeTree(data []byte) (*Tree, error) {
	var in treeJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("decode settings tree: %w", err)
	}
	return in.tree()
}

// tree returns the decoded tree. It was validated when it was accepted.
func (in treeJSON) tree() (*Tree, error) {
	for path := range in.Nodes {
		if path != RootPath && !strings.HasPrefix(path, "/") {
			return nil, fmt.Errorf("settings tree of revision %d: %q is not a path", in.Revision, shorten(path))
		}
	}
	if in.Nodes[RootPath] == nil {
		return nil, fmt.Errorf("settings tree of revision %d has no root", in.Revision)
	}
	t := &Tree{revision: in.Revision, nodes: in.Nodes}
	t.views = buildViews(t)
	return t, nil
}
