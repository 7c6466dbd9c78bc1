package claim

import (
	"bytes"
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
)

// snapshotVersion is the first byte of a snapshot.
const snapshotVersion = 1

// Snapshot encodes the machine. Equal machines have equal encodings: every map
// is written in the order of its keys.
func (m *Machine) Snapshot() []byte {
	w := make(writer, 0, 64+len(m.records)*160+len(m.tombs)*48+int(m.bytes))
	w = append(w, snapshotVersion)
	w.integer(m.clock)
	accounts := slices.Sorted(maps.Keys(m.usage))
	index := make(map[string]uint64, len(accounts))
	w.number(uint64(len(accounts)))
	for i, account := range accounts {
		index[account] = uint64(i)
		w.text(account)
	}
	w.number(uint64(len(m.records)))
	for _, key := range sortedKeys(m.records) {
		w.fixed(key)
		w.record(m.records[key], index)
	}
	w.number(uint64(len(m.tombs)))
	for _, key := range sortedKeys(m.tombs) {
		w.fixed(key)
		w.number(index[m.tombs[key].use.account])
		w.integer(m.tombs[key].due)
	}
	w.marks(m.marks)
	w.number(uint64(len(m.fences)))
	for _, entry := range slices.Sorted(maps.Keys(m.fences)) {
		w.text(entry)
		w.number(m.fences[entry].before)
		w.integer(m.fences[entry].due)
	}
	return w
}

func (w *writer) record(r *record, index map[string]uint64) {
	*w = append(*w, byte(r.state))
	w.number(index[r.use.account])
	w.fixed(r.body)
	w.holder(r.holder)
	w.integer(r.keyTime)
	w.integer(r.deadline)
	w.integer(r.due)
	if r.state == StateDone {
		w.answer(r.answer)
	}
}

func (w *writer) marks(marks map[mark]int64) {
	w.number(uint64(len(marks)))
	for _, at := range slices.SortedFunc(maps.Keys(marks), compareMarks) {
		w.fixed(at.key)
		w.holder(at.holder)
		w.integer(marks[at])
	}
}

func compareMarks(a, b mark) int {
	return cmp.Or(
		bytes.Compare(a.key[:], b.key[:]),
		cmp.Compare(a.holder.Entry, b.holder.Entry),
		cmp.Compare(a.holder.Incarnation, b.holder.Incarnation),
		cmp.Compare(a.holder.Request, b.holder.Request),
	)
}

func sortedKeys[V any](m map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
}

// Restore replaces the machine by an encoded one. On an error the machine is
// unchanged.
func (m *Machine) Restore(data []byte) error {
	r := reader{data: data}
	if v := r.byte(); r.err == nil && v != snapshotVersion {
		return fmt.Errorf("claim: snapshot of version %d, accepted: %d", v, snapshotVersion)
	}
	n := New(m.limits)
	n.clock = r.integer()
	var users []*usage
	for range r.count(1) {
		users = append(users, &usage{account: r.text()})
	}
	user := func() *usage {
		i := r.number()
		if i >= uint64(len(users)) {
			r.take(uint64(len(r.data)) + 1)
			return &usage{}
		}
		n.usage[users[i].account] = users[i]
		users[i].records++
		return users[i]
	}
	for range r.count(32) {
		n.restoreRecord(&r, user)
	}
	for range r.count(32) {
		key := r.fixed()
		t := tombstone{use: user(), due: r.integer()}
		n.tombs[key] = t
		n.expiry = append(n.expiry, expiry{at: t.due, key: key})
	}
	for range r.count(32) {
		at := mark{key: r.fixed(), holder: r.holder()}
		n.marks[at] = r.integer()
	}
	for range r.count(1) {
		entry := r.text()
		n.fences[entry] = fence{before: r.number(), due: r.integer()}
	}
	if err := r.end(); err != nil {
		return fmt.Errorf("claim snapshot: %w", err)
	}
	heap.Init(&n.expiry)
	*m = *n
	return nil
}

func (m *Machine) restoreRecord(r *reader, user func() *usage) {
	key := r.fixed()
	rec := &record{state: State(r.byte()), use: user(), body: r.fixed(), holder: r.holder(),
		keyTime: r.integer(), deadline: r.integer(), due: r.integer()}
	if rec.state == StateDone {
		a := r.answer()
		rec.answer = &a
		rec.use.bytes += a.size()
		m.bytes += a.size()
	}
	m.records[key] = rec
	m.expiry = append(m.expiry, expiry{at: rec.due, key: key})
}

// count reads the number of elements that follow, each of at least size bytes.
func (r *reader) count(size uint64) uint64 {
	n := r.number()
	if n > uint64(len(r.data))/size {
		r.take(uint64(len(r.data)) + 1)
		return 0
	}
	return n
}
