package storage

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/bluebellfield/bluebellfield/consensus"
)

// readSegments recovers the hard state and the entries, truncates a torn write
// at the end and opens the last segment for appending.
func (l *Log) readSegments(sequences []uint64, st *consensus.Persisted) error {
	slices.Sort(sequences)
	if len(sequences) == 0 {
		return damagedError(l.path, 0, "storage id exists, but no segment")
	}
	r := logReader{snapshot: l.snapshot}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return damagedError(l.segmentPath(sequence), 0, "preceding segment %016x is missing", sequences[i-1]+1)
		}
		if err := l.readSegment(&r, sequence, i == len(sequences)-1); err != nil {
			return err
		}
	}
	if first := r.firstIndex(); first > l.snapshot.Index+1 {
		return damagedError(l.segmentPath(sequences[0]), 0, "first entry is %d, but the snapshot ends at %d", first, l.snapshot.Index)
	}
	entries, stale := r.entriesAfterSnapshot()
	st.Hard, st.Entries = r.hard, entries
	l.hardState, l.lastIndex = r.hard, l.snapshot.Index+uint64(len(entries))
	if stale {
		return l.writeFrame(appendFrame(nil, resetRecord(l.snapshot.Index)))
	}
	return nil
}

func (l *Log) readSegment(r *logReader, sequence uint64, last bool) error {
	path := l.segmentPath(sequence)
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return ioError(opRead, path, err)
	}
	if last && sequence > 1 && headerIncomplete(data) {
		// A crash interrupted the creation of the segment.
		l.hardState = r.hard
		if err := l.startSegment(sequence); err != nil {
			return err
		}
		if err := l.current.Close(); err != nil {
			return ioError(opWrite, path, err)
		}
		l.segments = l.segments[:len(l.segments)-1]
		if data, err = l.fs.ReadFile(path); err != nil {
			return ioError(opRead, path, err)
		}
	}
	if err := l.checkHeader(path, sequence, data); err != nil {
		return err
	}
	r.segmentLastIndex = 0
	offset := segmentHeaderSize
	for offset < len(data) {
		payload, next, state := readFrame(data, offset)
		if state != frameValid {
			if !last || !isTornWrite(data, offset, next, state) {
				return damagedError(path, int64(offset), "checksum does not match")
			}
			break
		}
		if err := forEachRecord(payload, r.addRecord); err != nil {
			return damagedError(path, int64(offset), "%v", err)
		}
		offset = next
	}
	l.segments = append(l.segments, segment{sequence: sequence, lastIndex: r.segmentLastIndex})
	if last {
		return l.openForAppend(path, offset, offset < len(data))
	}
	return nil
}

// headerIncomplete reports whether a crash interrupted the write of a segment's
// header.
func headerIncomplete(data []byte) bool {
	return len(data) < segmentHeaderSize || hasUnwrittenSector(data, 0, segmentHeaderSize)
}

func (l *Log) checkHeader(path string, sequence uint64, data []byte) error {
	if len(data) < segmentHeaderSize || string(data[:8]) != segmentMagic ||
		binary.LittleEndian.Uint32(data[24:]) != checksum(data[:24]) {
		return damagedError(path, 0, "invalid segment header")
	}
	if id := binary.LittleEndian.Uint64(data[8:]); id != l.id {
		return damagedError(path, 8, "segment belongs to storage id %016x, want %016x", id, l.id)
	}
	if found := binary.LittleEndian.Uint64(data[16:]); found != sequence {
		return damagedError(path, 16, "segment has sequence %016x, want %016x", found, sequence)
	}
	return nil
}

// openForAppend opens the last segment for appending after its last valid frame,
// which ends at size.
func (l *Log) openForAppend(path string, size int, truncate bool) error {
	f, err := l.fs.Append(path)
	if err != nil {
		return ioError(opWrite, path, err)
	}
	if truncate {
		if err := f.Truncate(int64(size)); err != nil {
			_ = f.Close()
			return ioError(opWrite, path, err)
		}
	}
	// Valid frames may not have been synced before the crash, but count as
	// acknowledged from now on.
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return ioError(opSync, path, err)
	}
	l.current, l.currentSize = f, size
	return nil
}

// logReader rebuilds a log from its records.
type logReader struct {
	snapshot         consensus.SnapshotMeta
	hard             consensus.HardState
	entries          []consensus.Entry
	segmentLastIndex uint64
}

func (r *logReader) addRecord(kind recordKind, content []byte) error {
	switch kind {
	case recordHardState:
		hard, err := decodeHardState(content)
		r.hard = hard
		return err
	case recordReset:
		var index uint64
		_, err := readUvarints(content, &index)
		r.entries = nil
		r.segmentLastIndex = max(r.segmentLastIndex, index)
		return err
	case recordEntry:
		e, err := decodeEntry(content)
		if err != nil {
			return err
		}
		r.segmentLastIndex = max(r.segmentLastIndex, e.Index)
		return r.addEntry(e)
	}
	return fmt.Errorf("unknown record kind %d", kind)
}

// addEntry adds an entry and discards earlier ones with the same or a higher
// index.
func (r *logReader) addEntry(e consensus.Entry) error {
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

func (r *logReader) firstIndex() uint64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[0].Index
}

// entriesAfterSnapshot returns the entries that follow the snapshot. If the
// entries start within the snapshot but do not contain its last entry, a crash
// came between the installation of the snapshot and the reset record, and the
// entries are stale.
func (r *logReader) entriesAfterSnapshot() (entries []consensus.Entry, stale bool) {
	first := r.firstIndex()
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
