package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
)

// entryLog holds the entries after index offset in memory. Entries up to
// stable are durable.
type entryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	stable     uint64
	// members lists the membership changes in the log in order. The first
	// element is the membership at offset.
	members []logMembers
}

// logMembers is a membership with the index of the entry that set it.
type logMembers struct {
	index   uint64
	members Members
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, or false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.offset-1].Term, true
	}
}

// slice returns the entries with an index in (after, to].
func (l *entryLog) slice(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	return l.entries[after-l.offset : to-l.offset : to-l.offset]
}

// batch returns entries after the given index with at most maxBytes of data,
// but at least one entry if there are any.
func (l *entryLog) batch(after uint64, maxBytes int) []Entry {
	remaining := l.slice(after, l.last())
	size := 0
	for i := range remaining {
		size += len(remaining[i].Data)
		if i > 0 && size > maxBytes {
			return remaining[:i:i]
		}
	}
	return remaining
}

// append adds entries that directly follow the last entry.
func (l *entryLog) append(entries ...Entry) error {
	for _, e := range entries {
		if e.Kind == EntryMembers {
			var m Members
			if err := json.Unmarshal(e.Data, &m); err != nil {
				return fmt.Errorf("decode members of entry %d: %w", e.Index, err)
			}
			l.members = append(l.members, logMembers{e.Index, m})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate removes the entries after index. It copies the rest, because
// outputs and messages share the backing array.
func (l *entryLog) truncate(index uint64) {
	if index >= l.last() {
		return
	}
	l.entries = slices.Clone(l.entries[:index-l.offset])
	l.stable = min(l.stable, index)
	for len(l.members) > 1 && l.members[len(l.members)-1].index > index {
		l.members = l.members[:len(l.members)-1]
	}
}

// compact drops the entries up to index. The first remaining membership is
// the one that applies at index.
func (l *entryLog) compact(index uint64) error {
	term, ok := l.term(index)
	if !ok {
		return ErrCompacted
	}
	for len(l.members) > 1 && l.members[1].index <= index {
		l.members = l.members[1:]
	}
	l.entries = slices.Clone(l.entries[index-l.offset:])
	l.offset, l.offsetTerm = index, term
	return nil
}

// reset discards all entries and continues after a snapshot.
func (l *entryLog) reset(meta SnapshotMeta) {
	*l = entryLog{offset: meta.Index, offsetTerm: meta.Term, stable: meta.Index,
		members: []logMembers{{meta.Index, meta.Members}}}
}

func (l *entryLog) latestMembers() logMembers { return l.members[len(l.members)-1] }

// membersAtIndex returns the membership that applies at an entry.
func (l *entryLog) membersAtIndex(index uint64) Members {
	for i := len(l.members) - 1; i > 0; i-- {
		if l.members[i].index <= index {
			return l.members[i].members
		}
	}
	return l.members[0].members
}

// upToDate reports whether a log that ends with (index, term) holds every
// entry that this log may have committed.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// conflictHint returns the last entry at or before index whose term is at most
// maxTerm. A leader that tries it next skips the conflicting entries of higher
// terms in one step.
func (l *entryLog) conflictHint(index, maxTerm uint64) uint64 {
	index = min(index, l.last())
	for index > l.offset {
		if term, _ := l.term(index); term <= maxTerm {
			break
		}
		index--
	}
	return index
}
