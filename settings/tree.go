package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Tree is one immutable revision of the settings.
type Tree struct {
	revision uint64
	// nodes maps the path of each node to the values set at that node. It
	// always contains the root. The inner maps are shared between revisions
	// and must not be modified.
	nodes map[string]map[string]Value
	views views
}

// Empty returns the tree at revision 0, in which every setting has its default.
func Empty() *Tree {
	t := &Tree{nodes: map[string]map[string]Value{RootPath: {}}}
	t.views = buildViews(t)
	return t
}

// NewTree applies ops to the empty tree and returns the result at revision 0.
func NewTree(ops []Op) (*Tree, []Problem) {
	return Empty().applyValidated(0, ops)
}

// Check validates ops against this tree and returns the problems found.
func (t *Tree) Check(ops []Op) []Problem {
	_, problems := t.applyValidated(t.revision+1, ops)
	return problems
}

// Advance applies a record from the store's history and returns the new tree.
// The record must be for the next revision. It is not validated again, and keys
// that are unknown to this version are kept.
func (t *Tree) Advance(r Record) (*Tree, error) {
	if r.Revision != t.revision+1 {
		return nil, fmt.Errorf("record of revision %d does not follow revision %d", r.Revision, t.revision)
	}
	next, problem := t.applyUnvalidated(r.Revision, r.Ops)
	if problem != nil {
		return nil, fmt.Errorf("record of revision %d: %w", r.Revision, *problem)
	}
	return next, nil
}

// AdvanceAll applies the records that are newer than the tree. It returns the
// new tree and the records that it applied, and skips older ones. If a record
// cannot be applied, it returns t unchanged and an error.
func (t *Tree) AdvanceAll(records []Record) (*Tree, []Record, error) {
	next := t
	var applied []Record
	for _, r := range records {
		if r.Revision <= next.revision {
			continue
		}
		advanced, err := next.Advance(r)
		if err != nil {
			return t, nil, err
		}
		next, applied = advanced, append(applied, r)
	}
	return next, applied, nil
}

// Revision returns the number of the revision.
func (t *Tree) Revision() uint64 { return t.revision }

// applyValidated applies and validates ops. It returns either the new tree or
// the problems found.
func (t *Tree) applyValidated(revision uint64, ops []Op) (*Tree, []Problem) {
	e := editor{nodes: maps.Clone(t.nodes), copied: map[string]bool{}}
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

// applyUnvalidated applies ops that were validated when they were accepted,
// possibly by a newer version that knows more keys.
func (t *Tree) applyUnvalidated(revision uint64, ops []Op) (*Tree, *Problem) {
	e := editor{nodes: maps.Clone(t.nodes), copied: map[string]bool{}, skipValidation: true}
	for _, op := range ops {
		if p := e.apply(op); p != nil {
			return nil, p
		}
	}
	next := &Tree{revision: revision, nodes: e.nodes}
	next.views = buildViews(next)
	return next, nil
}

// editor applies ops to a shallow copy of a tree's nodes. It copies the values
// of a node on the first write to them.
type editor struct {
	nodes  map[string]map[string]Value
	copied map[string]bool
	// skipValidation is set for ops that were validated when they were accepted.
	skipValidation bool
}

func (e *editor) apply(op Op) *Problem {
	loc, ok := parsePath(op.Path)
	if !ok && !e.skipValidation {
		return &Problem{Code: BadPath, Path: truncate(op.Path), Message: "not the path of a node", Accepted: acceptedPaths()}
	}
	switch op.Op {
	case OpSet:
		return e.setValue(loc, op)
	case OpReset:
		return e.resetKey(op)
	case OpDelete:
		return e.deleteNode(loc, op)
	}
	return &Problem{Code: BadOp, Path: op.Path, Message: fmt.Sprintf("unknown op %q", truncate(string(op.Op))), Accepted: `"set", "reset" or "delete"`}
}

func (e *editor) setValue(loc location, op Op) *Problem {
	if op.Key == "" {
		if op.Value.IsSet() {
			return &Problem{Code: BadOp, Path: op.Path, Message: "a value without a key", Accepted: "a key, or no value to create the node"}
		}
		e.mutableValues(op.Path)
		return nil
	}
	if p := checkKey(loc, op); p != nil && !e.skipValidation {
		return p
	}
	e.mutableValues(op.Path)[op.Key] = op.Value
	return nil
}

// checkKey returns the problem with setting op.Key to op.Value at a node, nil
// if there is none.
func checkKey(loc location, op Op) *Problem {
	key, ok := schemaByName[op.Key]
	if !ok {
		return &Problem{Code: UnknownKey, Path: op.Path, Key: truncate(op.Key), Message: "unknown key", Accepted: acceptedKeys(loc.kind)}
	}
	if key.Nodes&loc.kind == 0 {
		return &Problem{Code: MisplacedKey, Path: op.Path, Key: op.Key, Message: "the key does not stand at this node", Accepted: strings.Join(key.Nodes.PathForms(), ", ")}
	}
	if reason := key.check(op.Value); reason != "" {
		return &Problem{Code: BadValue, Path: op.Path, Key: op.Key, Message: reason, Accepted: key.AcceptedText()}
	}
	return nil
}

func (e *editor) resetKey(op Op) *Problem {
	if _, ok := schemaByName[op.Key]; !ok && !e.skipValidation {
		return &Problem{Code: UnknownKey, Path: op.Path, Key: truncate(op.Key), Message: "unknown key", Accepted: "a key of the settings reference"}
	}
	if _, ok := e.nodes[op.Path]; !ok {
		return nodeNotFound(op.Path)
	}
	delete(e.mutableValues(op.Path), op.Key)
	return nil
}

func (e *editor) deleteNode(loc location, op Op) *Problem {
	if op.Key != "" {
		return &Problem{Code: BadOp, Path: op.Path, Key: truncate(op.Key), Message: "delete removes a node, not a key", Accepted: `"reset" for a key`}
	}
	if loc.kind == NodeRoot {
		return &Problem{Code: BadOp, Path: op.Path, Message: "the root cannot be deleted", Accepted: "the path of a node below the root"}
	}
	if _, ok := e.nodes[op.Path]; !ok {
		return nodeNotFound(op.Path)
	}
	for path := range e.nodes {
		if path == op.Path || strings.HasPrefix(path, op.Path+"/") {
			delete(e.nodes, path)
			delete(e.copied, path)
		}
	}
	return nil
}

// mutableValues returns a map of the values of a node that no other tree shares.
// It creates the node if it does not exist.
func (e *editor) mutableValues(path string) map[string]Value {
	if !e.copied[path] {
		values := maps.Clone(e.nodes[path])
		if values == nil {
			values = map[string]Value{}
		}
		e.nodes[path] = values
		e.copied[path] = true
	}
	return e.nodes[path]
}

func nodeNotFound(path string) *Problem {
	return &Problem{Code: NodeNotFound, Path: path, Message: "the node does not exist", Accepted: "the path of a node of the tree"}
}

// acceptedKeys lists the keys that are valid at a kind of node.
func acceptedKeys(kind NodeKind) string {
	var names []string
	for i := range schema {
		if schema[i].Nodes&kind != 0 {
			names = append(names, schema[i].Name)
		}
	}
	return strings.Join(names, ", ")
}

// Paths returns the paths of all nodes in sorted order.
func (t *Tree) Paths() []string { return slices.Sorted(maps.Keys(t.nodes)) }

// LocalValues returns a copy of the values that are set at a node, without
// inherited ones, and whether the node exists.
func (t *Tree) LocalValues(path string) (map[string]Value, bool) {
	values, ok := t.nodes[path]
	return maps.Clone(values), ok
}

// treeJSON is the JSON encoding of a tree. encoding/json sorts map keys, so
// equal trees have equal encodings.
type treeJSON struct {
	Revision uint64                      `json:"revision"`
	Nodes    map[string]map[string]Value `json:"nodes"`
}

// MarshalJSON implements json.Marshaler. Equal trees have equal encodings.
func (t *Tree) MarshalJSON() ([]byte, error) {
	return json.Marshal(treeJSON{Revision: t.revision, Nodes: t.nodes})
}

// DecodeTree decodes a tree written by MarshalJSON.
func DecodeTree(data []byte) (*Tree, error) {
	var in treeJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("decode settings tree: %w", err)
	}
	return in.tree()
}

// tree builds the tree. Only its paths are checked, since the changes that made
// it were validated when they were accepted.
func (in treeJSON) tree() (*Tree, error) {
	for path := range in.Nodes {
		if path != RootPath && !strings.HasPrefix(path, "/") {
			return nil, fmt.Errorf("settings tree of revision %d: %q is not a path", in.Revision, truncate(path))
		}
	}
	if in.Nodes[RootPath] == nil {
		return nil, fmt.Errorf("settings tree of revision %d has no root", in.Revision)
	}
	t := &Tree{revision: in.Revision, nodes: in.Nodes}
	t.views = buildViews(t)
	return t, nil
}
