package storage

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/bluebellfield/bluebellfield/consensus"
)

// readSegments rebuilds the hard state and the entries, cuts a torn tail off
// and opens the last segment for appending.
func (l *Log) readSegments(sequences []uint64, st *consensus.Persisted) error {
	slices.Sort(sequences)
	if len(sequences) == 0 {
		return damage(l.path, 0, "no segment beside a storage id")
	}
	r := reader{snapshot: l.snapshot}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return damage(l.segmentPath(sequence), 0, "segment %016x is missing before it", sequences[i-1]+1)
		}
		if err := l.readSegment(&r, sequence, i == len(sequences)-1); err != nil {
			return err
		}
	}
	if first := r.first(); first > l.snapshot.Index+1 {
		return damage(l.segmentPath(sequences[0]), 0, "entries start at %d, the snapshot ends at %d", first, l.snapshot.Index)
	}
	entries, void := r.afterSnapshot()
	st.Hard, st.Entries = r.hard, entries
	l.hard, l.last = r.hard, l.snapshot.Index+uint64(len(entries))
	if void {
		return l.write(appendFrame(nil, resetRecord(l.snapshot.Index)))
	}
	return nil
}

func (l *Log) readSegment(r *reader, sequence uint64, last bool) error {
	path := l.segmentPath(sequence)
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return failure(opRead, path, err)
	}
	if last && sequence > 1 && unfinishedHeader(data) {
		// The crash came while the segment was being created.
		l.hard = r.hard
		if err := l.startSegment(sequence); err != nil {
			return err
		}
		if err := l.current.Close(); err != nil {
			return failure(opWrite, path, err)
		}
		l.segments = l.segments[:len(l.segments)-1]
		if data, err = l.fs.ReadFile(path); err != nil {
			return failure(opRead, path, err)
		}
	}
	if err := l.checkHeader(path, sequence, data); err != nil {
		return err
	}
	r.segmentLast = 0
	offset := segmentHeaderSize
	for offset < len(data) {
		payload, next, state := readFrame(data, offset)
		if state != frameValid {
			if !last || !torn(data, offset, next, state) {
				return damage(path, int64(offset), "checksum does not match")
			}
			break
		}
		if err := eachRecord(payload, r.record); err != nil {
			return damage(path, int64(offset), "%v", err)
		}
		offset = next
	}
	l.segments = append(l.segments, segment{sequence: sequence, lastIndex: r.segmentLast})
	if last {
		return l.continueSegment(path, offset, offset < len(data))
	}
	return nil
}

// unfinishedHeader reports whether a segment holds no complete header.
func unfinishedHeader(data []byte) bool {
	return len(data) < segmentHeaderSize || lacksSector(data, 0, segmentHeaderSize)
}

func (l *Log) checkHeader(path string, sequence uint64, data []byte) error {
	if len(data) < segmentHeaderSize || string(data[:8]) != segmentMagic ||
		binary.LittleEndian.Uint32(data[24:]) != checksum(data[:24]) {
		return damage(path, 0, "segment header is not valid")
	}
	if id := binary.LittleEndian.Uint64(data[8:]); id != l.id {
		return damage(path, 8, "segment belongs to storage id %016x, this is %016x", id, l.id)
	}
	if found := binary.LittleEndian.Uint64(data[16:]); found != sequence {
		return damage(path, 16, "segment has sequence %016x", found)
	}
	return nil
}

// continueSegment opens the last segment for appending after its last valid
// frame.
func (l *Log) continueSegment(path string, size int, cut bool) error {
	f, err := l.fs.Append(path)
	if err != nil {
		return failure(opWrite, path, err)
	}
	if cut {
		if err := f.Truncate(int64(size)); err != nil {
			_ = f.Close()
			return failure(opWrite, path, err)
		}
	}
	// Frames found valid may not have been synced before the crash, but are
	// acknowledged from now on.
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return failure(opSync, path, err)
	}
	l.current, l.size = f, size
	return nil
}

// reader collects records into a log.
type reader struct {
	snapshot    consensus.SnapshotMeta
	hard        consensus.HardState
	entries     []consensus.Entry
	segmentLast uint64
}

func (r *reader) record(kind recordKind, content []byte) error {
	switch kind {
	case recordHard:
		hard, err := decodeHard(content)
		r.hard = hard
		return err
	case recordReset:
		var index uint64
		_, err := uvarints(content, &index)
		r.entries = nil
		r.segmentLast = max(r.segmentLast, index)
		return err
	case recordEntry:
		e, err := decodeEntry(content)
		if err != nil {
			return err
		}
		r.segmentLast = max(r.segmentLast, e.Index)
		return r.entry(e)
	}
	return fmt.Errorf("unknown record kind %d", kind)
}

// entry adds an entry, which voids those at its index and after.
func (r *reader) entry(e consensus.Entry) error {
	if len(r.entries) > 0 {
		first := r.entries[0].Index
		if e.Index > first+uint64(len(r.entries)) {
			return fmt.Errorf("entry %d follows entry %d", e.Index, r.entries[len(r.entries)-1].Index)
		}
		if e.Index < first {
			r.entries = nil
		} else {
			r.entries = r.entries[:e.Index-first]
		}
	}
	r.entries = append(r.entries, e)
	return nil
}

func (r *reader) first() uint64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[0].Index
}

// afterSnapshot returns the entries that continue the snapshot. When the log
// does not hold the snapshot's last entry, a snapshot was installed and the
// crash came before the reset record: the entries are void.
func (r *reader) afterSnapshot() (entries []consensus.Entry, void bool) {
	first := r.first()
	if first == 0 || first > r.snapshot.Index {
		return r.entries, false
	}
	position := r.snapshot.Index - first
	if position >= uint64(len(r.entries)) || r.entries[position].Term != r.snapshot.Term {
		return nil, true
	}
	return r.entries[position+1:], false
}

func resetRecord(index uint64) []byte {
	return appendRecord(nil, recordReset, binary.AppendUvarint(nil, index))
}
