package settings

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
)

// Bounds of the store.
const (
	// KeptChanges is for how many accepted changes an id is remembered: ten
	// days at 10,000 changes a day.
	KeptChanges = 100_000
	// keptRefusals bounds the remembered answers to refused changes. They are
	// counted apart, so that refused changes do not displace accepted ones.
	keptRefusals = 1_000
	// keptHistory is how many accepted changes can be shown and rolled back:
	// one day at 10,000 changes a day.
	keptHistory = 10_000
	// maxChangeOps bounds one change, which is one log entry.
	maxChangeOps = 10_000
	// maxChangeID and maxAuthor bound what is kept for each change.
	maxChangeID = 64
	maxAuthor   = 64
	// maxConflicts bounds the conflicts listed in one answer.
	maxConflicts = 100
	// MaxNodes bounds the tree, since each change is validated against all of
	// it on every control instance: 31 to 38 ms at 10,000 nodes.
	MaxNodes = 20_000
)

// Store is the settings state machine. It is not safe for concurrent use; the
// trees that it returns are.
type Store struct {
	tree    *Tree
	history []Record
	// accepted and refused hold the first answer to each change id; the queues
	// list their ids, the oldest first.
	accepted    map[string]acceptance
	acceptedIDs queue
	refused     map[string]refusal
	refusedIDs  queue
}

// changeDigest tells a resend from another change under the same id.
type changeDigest [16]byte

// acceptance is the first answer to an accepted change, kept small because
// KeptChanges of them are.
type acceptance struct {
	digest   changeDigest
	revision uint64
}

// refusal is the first answer to a refused change.
type refusal struct {
	digest changeDigest
	result Result
}

// New returns an empty store at revision 0.
func New() *Store {
	return &Store{tree: Empty(), accepted: map[string]acceptance{}, refused: map[string]refusal{}}
}

// Apply decides a change. A change whose id is known is not applied again and
// receives its first result.
func (s *Store) Apply(c Change) Result {
	if p := c.check(); p != nil {
		return s.invalid(*p)
	}
	digest := c.digest()
	if first, ok := s.accepted[c.ID]; ok {
		return s.repeat(first.digest == digest, Result{Revision: first.revision, Code: Applied})
	}
	if first, ok := s.refused[c.ID]; ok {
		return s.repeat(first.digest == digest, first.result)
	}
	r := s.decide(c)
	if r.Code == Applied {
		s.rememberAccepted(c.ID, acceptance{digest: digest, revision: r.Revision})
	} else {
		s.rememberRefused(c.ID, refusal{digest: digest, result: r})
	}
	return r
}

// check returns the problem of a change that is not worth remembering.
func (c *Change) check() *Problem {
	switch {
	case c.ID == "" || len(c.ID) > maxChangeID:
		return &Problem{Code: BadChange, Key: "id", Message: fmt.Sprintf("an id of %d bytes", len(c.ID)), Accepted: fmt.Sprintf("1 to %d bytes", maxChangeID)}
	case len(c.Author) > maxAuthor:
		return &Problem{Code: BadChange, Key: "author", Message: fmt.Sprintf("an author of %d bytes", len(c.Author)), Accepted: fmt.Sprintf("up to %d bytes", maxAuthor)}
	case len(c.Ops) == 0 || len(c.Ops) > maxChangeOps:
		return &Problem{Code: BadChange, Key: "ops", Message: fmt.Sprintf("%d ops", len(c.Ops)), Accepted: fmt.Sprintf("1 to %d ops", maxChangeOps)}
	}
	return nil
}

// digest covers what the operator asked for. The author and the time are
// those of the daemon that received the change, and differ on a resend.
func (c *Change) digest() changeDigest {
	data, err := json.Marshal(struct {
		Base uint64
		Ops  []Op
	}{c.Base, c.Ops})
	if err != nil {
		// Values hold only numbers, strings and lists; a number that JSON
		// cannot express is refused by its range.
		data = fmt.Appendf(nil, "%d %v", c.Base, c.Ops)
	}
	sum := sha256.Sum256(data)
	return changeDigest(sum[:16])
}

func (s *Store) invalid(problems ...Problem) Result {
	return Result{Revision: s.tree.revision, Code: Invalid, Errors: problems}
}

// repeat answers a change whose id is known.
func (s *Store) repeat(same bool, first Result) Result {
	if !same {
		return s.invalid(Problem{Code: BadChange, Key: "id", Message: "the id belongs to another change", Accepted: "a new id for each change, and the same base and ops when it is sent again"})
	}
	first.First, first.Code = first.Code, Duplicate
	return first
}

func (s *Store) decide(c Change) Result {
	if c.Base > s.tree.revision {
		return s.invalid(Problem{Code: BadChange, Key: "base", Message: fmt.Sprintf("base revision %d does not exist", c.Base), Accepted: fmt.Sprintf("the newest revision, %d", s.tree.revision)})
	}
	if c.Base < s.tree.revision {
		return s.conflict(c)
	}
	next, problems := s.tree.with(s.tree.revision+1, c.Ops)
	if len(problems) > 0 {
		return s.invalid(problems[:min(len(problems), maxProblems)]...)
	}
	s.history = append(s.history, Record{
		Revision: next.revision, ID: c.ID, Author: c.Author, At: c.At.UTC().Round(0),
		Ops: slices.Clone(c.Ops), Undo: OpsBetween(next, s.tree),
	})
	if len(s.history) > keptHistory {
		s.history[0] = Record{}
		s.history = s.history[1:]
	}
	s.tree = next
	return Result{Revision: next.revision, Code: Applied}
}

// conflict lists what changed since the base of a change, the newest first.
func (s *Store) conflict(c Change) Result {
	touched := map[string]bool{}
	for _, op := range c.Ops {
		touched[op.Path+" "+op.Key] = true
		touched[op.Path] = touched[op.Path] || op.Key == ""
	}
	r := Result{Revision: s.tree.revision, Code: Conflicting}
	for _, record := range slices.Backward(s.History(c.Base)) {
		for _, op := range record.Ops {
			if len(r.Conflicts) == maxConflicts {
				r.MoreConflicts++
				continue
			}
			overlaps := touched[op.Path+" "+op.Key] || touched[op.Path] || op.Key == "" && touchesBelow(c.Ops, op.Path)
			r.Conflicts = append(r.Conflicts, Conflict{
				Revision: record.Revision, ID: record.ID, Author: record.Author, At: record.At,
				Path: op.Path, Key: op.Key, Overlaps: overlaps,
			})
		}
	}
	return r
}

// touchesBelow reports whether an op concerns a node or one below it.
func touchesBelow(ops []Op, path string) bool {
	return slices.ContainsFunc(ops, func(op Op) bool {
		return op.Path == path || parentPath(op.Path) == path
	})
}

func (s *Store) rememberAccepted(id string, a acceptance) {
	s.accepted[id] = a
	s.acceptedIDs.push(id)
	if s.acceptedIDs.len() > KeptChanges {
		delete(s.accepted, s.acceptedIDs.pop())
	}
}

func (s *Store) rememberRefused(id string, r refusal) {
	s.refused[id] = r
	s.refusedIDs.push(id)
	if s.refusedIDs.len() > keptRefusals {
		delete(s.refused, s.refusedIDs.pop())
	}
}

// queue is a first-in first-out list of ids. Popped ids are dropped in bulk.
type queue struct {
	ids  []string
	head int
}

func (q *queue) len() int       { return len(q.ids) - q.head }
func (q *queue) push(id string) { q.ids = append(q.ids, id) }
func (q *queue) all() []string  { return q.ids[q.head:] }

func (q *queue) pop() string {
	id := q.ids[q.head]
	q.ids[q.head] = ""
	q.head++
	if q.head > len(q.ids)/2 && q.head > 1024 {
		q.ids, q.head = append([]string(nil), q.ids[q.head:]...), 0
	}
	return id
}

// EncodeChange returns a change as a command for the log.
func EncodeChange(c Change) ([]byte, error) {
	c.At = c.At.UTC().Round(0)
	return json.Marshal(c)
}

// DecodeChange reads a command that EncodeChange wrote.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return Change{}, fmt.Errorf("decode settings change: %w", err)
	}
	return c, nil
}
