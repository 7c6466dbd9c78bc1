package claim

import (
	"bytes"
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
)

// snapshotVersion is the format version in the first byte of a snapshot.
const snapshotVersion = 1

// Snapshot encodes the machine. Maps are written in the order of their keys, so
// that equal machines have identical snapshots.
func (m *Machine) Snapshot() []byte {
	w := make(writer, 0, 64+len(m.records)*160+len(m.tombstones)*48+int(m.storedBytes))
	w = append(w, snapshotVersion)
	w.varint(m.clock)
	accounts := slices.Sorted(maps.Keys(m.usage))
	index := make(map[string]uint64, len(accounts))
	w.uvarint(uint64(len(accounts)))
	for i, account := range accounts {
		index[account] = uint64(i)
		w.string(account)
	}
	w.uvarint(uint64(len(m.records)))
	for _, key := range sortedKeys(m.records) {
		w.array32(key)
		w.record(m.records[key], index)
	}
	w.uvarint(uint64(len(m.tombstones)))
	for _, key := range sortedKeys(m.tombstones) {
		w.array32(key)
		w.uvarint(index[m.tombstones[key].usage.account])
		w.varint(m.tombstones[key].expiresAt)
	}
	w.releasedClaims(m.released)
	w.uvarint(uint64(len(m.fences)))
	for _, entry := range slices.Sorted(maps.Keys(m.fences)) {
		w.string(entry)
		w.uvarint(m.fences[entry].before)
		w.varint(m.fences[entry].expiresAt)
	}
	return w
}

func (w *writer) record(r *record, index map[string]uint64) {
	*w = append(*w, byte(r.state))
	w.uvarint(index[r.usage.account])
	w.array32(r.body)
	w.holder(r.holder)
	w.varint(r.keyTime)
	w.varint(r.deadline)
	w.varint(r.expiresAt)
	if r.state == StateDone {
		w.answer(r.answer)
	}
}

func (w *writer) releasedClaims(released map[releasedClaim]int64) {
	w.uvarint(uint64(len(released)))
	for _, claim := range slices.SortedFunc(maps.Keys(released), compareReleasedClaims) {
		w.array32(claim.key)
		w.holder(claim.holder)
		w.varint(released[claim])
	}
}

func compareReleasedClaims(a, b releasedClaim) int {
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

// Restore replaces the state of the machine with a snapshot. If it returns an
// error, the machine is unchanged.
func (m *Machine) Restore(data []byte) error {
	r := reader{data: data}
	if v := r.byte(); r.err == nil && v != snapshotVersion {
		return fmt.Errorf("claim: unsupported snapshot version %d, want %d", v, snapshotVersion)
	}
	restored := New(m.limits)
	restored.clock = r.varint()
	var accounts []*accountUsage
	for range r.count(1) {
		accounts = append(accounts, &accountUsage{account: r.string()})
	}
	readUsage := func() *accountUsage {
		i := r.uvarint()
		if i >= uint64(len(accounts)) {
			r.next(uint64(len(r.data)) + 1) // sets errTruncated
			return &accountUsage{}
		}
		restored.usage[accounts[i].account] = accounts[i]
		accounts[i].records++
		return accounts[i]
	}
	for range r.count(32) {
		restored.restoreRecord(&r, readUsage)
	}
	for range r.count(32) {
		key := r.array32()
		t := tombstone{usage: readUsage(), expiresAt: r.varint()}
		restored.tombstones[key] = t
		restored.expiry = append(restored.expiry, expiry{at: t.expiresAt, key: key})
	}
	for range r.count(32) {
		claim := releasedClaim{key: r.array32(), holder: r.holder()}
		restored.released[claim] = r.varint()
	}
	for range r.count(1) {
		entry := r.string()
		restored.fences[entry] = fence{before: r.uvarint(), expiresAt: r.varint()}
	}
	if err := r.finish(); err != nil {
		return fmt.Errorf("claim snapshot: %w", err)
	}
	heap.Init(&restored.expiry)
	*m = *restored
	return nil
}

func (m *Machine) restoreRecord(r *reader, readUsage func() *accountUsage) {
	key := r.array32()
	rec := &record{state: State(r.byte()), usage: readUsage(), body: r.array32(), holder: r.holder(),
		keyTime: r.varint(), deadline: r.varint(), expiresAt: r.varint()}
	if rec.state == StateDone {
		a := r.answer()
		rec.answer = &a
		rec.usage.bytes += a.size()
		m.storedBytes += a.size()
	}
	m.records[key] = rec
	m.expiry = append(m.expiry, expiry{at: rec.expiresAt, key: key})
}

// count reads the number of elements that follow. It fails if they cannot fit
// into the remaining data at size bytes per element.
func (r *reader) count(size uint64) uint64 {
	n := r.uvarint()
	if n > uint64(len(r.data))/size {
		r.next(uint64(len(r.data)) + 1) // sets errTruncated
		return 0
	}
	return n
}
