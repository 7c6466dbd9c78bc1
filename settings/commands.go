package settings

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
)

// Limits of the store.
const (
	// MaxAcceptedIDs limits the accepted changes whose ids are retained to detect
	// resent changes: ten days at 10,000 changes a day.
	MaxAcceptedIDs = 100_000
	// maxRejectedResults limits the retained results of rejected changes. It is
	// separate, so that rejected changes cannot evict accepted ones.
	maxRejectedResults = 1_000
	// maxHistoryRecords limits the accepted changes that can be listed and rolled
	// back: one day at 10,000 changes a day.
	maxHistoryRecords = 10_000
	// maxChangeOps limits the size of a change, which is one log entry.
	maxChangeOps = 10_000
	// maxChangeID and maxAuthor, in bytes, limit the memory used per change.
	maxChangeID = 64
	maxAuthor   = 64
	// maxConflicts limits the conflicts listed in one result.
	maxConflicts = 100
	// MaxNodes limits the nodes of a tree. Every control instance validates the
	// whole tree on each change, which takes 31 to 38 ms at 10,000 nodes.
	MaxNodes = 20_000
)

// Store is the settings state machine. It is not safe for concurrent use, but
// the trees that it returns are.
type Store struct {
	tree    *Tree
	history []Record
	// accepted and rejected hold the first result of each change by change id.
	// The queues list the ids, oldest first, for eviction.
	accepted    map[string]acceptedChange
	acceptedIDs queue
	rejected    map[string]rejectedChange
	rejectedIDs queue
}

// changeDigest is a digest of a change's content. It distinguishes a resent
// change from a different one that reuses the id.
type changeDigest [16]byte

// acceptedChange is the first result of an accepted change. It is small because
// the store retains MaxAcceptedIDs of them.
type acceptedChange struct {
	digest   changeDigest
	revision uint64
}

// rejectedChange is the first result of a rejected change.
type rejectedChange struct {
	digest changeDigest
	result Result
}

// New returns an empty store at revision 0.
func New() *Store {
	return &Store{tree: Empty(), accepted: map[string]acceptedChange{}, rejected: map[string]rejectedChange{}}
}

// Apply validates and applies a change. A change with a known id is not applied
// again; it gets its first result, marked as a duplicate.
func (s *Store) Apply(c Change) Result {
	if p := c.checkBounds(); p != nil {
		return s.invalidResult(*p)
	}
	digest := c.digest()
	if first, ok := s.accepted[c.ID]; ok {
		return s.resendResult(first.digest == digest, Result{Revision: first.revision, Code: Applied})
	}
	if first, ok := s.rejected[c.ID]; ok {
		return s.resendResult(first.digest == digest, first.result)
	}
	r := s.applyNew(c)
	if r.Code == Applied {
		s.storeAccepted(c.ID, acceptedChange{digest: digest, revision: r.Revision})
	} else {
		s.storeRejected(c.ID, rejectedChange{digest: digest, result: r})
	}
	return r
}

// checkBounds checks the size of a change's fields. The result of a change that
// fails it is not retained.
func (c *Change) checkBounds() *Problem {
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

// digest covers the base revision and the ops. The author and time are set by
// the daemon that receives the change and can differ when it is resent.
func (c *Change) digest() changeDigest {
	data, err := json.Marshal(struct {
		Base uint64
		Ops  []Op
	}{c.Base, c.Ops})
	if err != nil {
		// Only NaN and infinite numbers fail to encode, and the range check
		// rejects them later.
		data = fmt.Appendf(nil, "%d %v", c.Base, c.Ops)
	}
	sum := sha256.Sum256(data)
	return changeDigest(sum[:16])
}

func (s *Store) invalidResult(problems ...Problem) Result {
	return Result{Revision: s.tree.revision, Code: Invalid, Errors: problems}
}

// resendResult returns the result of a change with a known id.
func (s *Store) resendResult(sameChange bool, first Result) Result {
	if !sameChange {
		return s.invalidResult(Problem{Code: BadChange, Key: "id", Message: "the id belongs to another change", Accepted: "a new id for each change, and the same base and ops when it is sent again"})
	}
	first.First, first.Code = first.Code, Duplicate
	return first
}

func (s *Store) applyNew(c Change) Result {
	if c.Base > s.tree.revision {
		return s.invalidResult(Problem{Code: BadChange, Key: "base", Message: fmt.Sprintf("base revision %d does not exist", c.Base), Accepted: fmt.Sprintf("the newest revision, %d", s.tree.revision)})
	}
	if c.Base < s.tree.revision {
		return s.conflictResult(c)
	}
	next, problems := s.tree.applyValidated(s.tree.revision+1, c.Ops)
	if len(problems) > 0 {
		return s.invalidResult(problems[:min(len(problems), maxProblems)]...)
	}
	s.history = append(s.history, Record{
		Revision: next.revision, ID: c.ID, Author: c.Author, At: c.At.UTC().Round(0),
		Ops: slices.Clone(c.Ops), Undo: OpsBetween(next, s.tree),
	})
	if len(s.history) > maxHistoryRecords {
		s.history[0] = Record{}
		s.history = s.history[1:]
	}
	s.tree = next
	return Result{Revision: next.revision, Code: Applied}
}

// conflictResult rejects a change with an old base revision. It lists the ops
// that were applied since, with the newest change first.
func (s *Store) conflictResult(c Change) Result {
	changed := map[string]bool{}
	for _, op := range c.Ops {
		changed[op.Path+" "+op.Key] = true
		changed[op.Path] = changed[op.Path] || op.Key == ""
	}
	r := Result{Revision: s.tree.revision, Code: Conflicting}
	for _, record := range slices.Backward(s.History(c.Base)) {
		for _, op := range record.Ops {
			if len(r.Conflicts) == maxConflicts {
				r.MoreConflicts++
				continue
			}
			overlaps := changed[op.Path+" "+op.Key] || changed[op.Path] || op.Key == "" && affectsSubtree(c.Ops, op.Path)
			r.Conflicts = append(r.Conflicts, Conflict{
				Revision: record.Revision, ID: record.ID, Author: record.Author, At: record.At,
				Path: op.Path, Key: op.Key, Overlaps: overlaps,
			})
		}
	}
	return r
}

// affectsSubtree reports whether any op changes a node or one nested in it.
func affectsSubtree(ops []Op, path string) bool {
	return slices.ContainsFunc(ops, func(op Op) bool {
		return op.Path == path || parentPath(op.Path) == path
	})
}

func (s *Store) storeAccepted(id string, a acceptedChange) {
	s.accepted[id] = a
	s.acceptedIDs.push(id)
	if s.acceptedIDs.len() > MaxAcceptedIDs {
		delete(s.accepted, s.acceptedIDs.pop())
	}
}

func (s *Store) storeRejected(id string, r rejectedChange) {
	s.rejected[id] = r
	s.rejectedIDs.push(id)
	if s.rejectedIDs.len() > maxRejectedResults {
		delete(s.rejected, s.rejectedIDs.pop())
	}
}

// queue is a FIFO queue of ids. It is compacted when more than half of its
// slice, and over 1024 ids, are popped.
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

// EncodeChange encodes a change as a log command.
func EncodeChange(c Change) ([]byte, error) {
	c.At = c.At.UTC().Round(0)
	return json.Marshal(c)
}

// DecodeChange decodes a command written by EncodeChange.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return Change{}, fmt.Errorf("decode settings change: %w", err)
	}
	return c, nil
}
