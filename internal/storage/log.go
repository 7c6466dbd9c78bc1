package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/bluebellfield/bluebellfield/consensus"
)

const (
	idFile        = "id"
	segmentSuffix = ".wal"
	segmentMagic  = "BBFWAL1\n"
	// segment header: magic (8) | storage id (8) | sequence (8) | CRC32-C (4)
	segmentHeaderSize = 28
	// DefaultSegmentBytes keeps few enough bytes in a segment to read it whole,
	// and few enough segments to list them cheaply.
	DefaultSegmentBytes = 4 << 20
)

// segment is one file of the write-ahead log.
type segment struct {
	sequence uint64
	// lastIndex is the highest entry that the segment holds or has held.
	lastIndex uint64
}

// Log stores one replicated log. Save, Compact and Close must be called from
// one goroutine; the snapshot functions may be called from another.
type Log struct {
	fs           FS
	path         string
	id           uint64
	segmentBytes int

	segments []segment
	current  File
	size     int
	hard     consensus.HardState
	last     uint64
	failed   error

	snapshotMu sync.Mutex
	snapshot   consensus.SnapshotMeta
}

// LogOptions sets limits of a log; zero fields get the defaults.
type LogOptions struct {
	SegmentBytes int
}

// OpenLog opens or creates a log in a subdirectory and returns what it holds.
// When the log is damaged, it returns the error together with what can still
// be read: the storage id and an intact snapshot, without entries.
func (d *Dir) OpenLog(name string, o LogOptions) (*Log, consensus.Persisted, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: d.fs, path: filepath.Join(d.path, name), segmentBytes: o.SegmentBytes}
	if err := d.fs.MkdirAll(l.path); err != nil {
		return l, consensus.Persisted{}, l.fail(failure(opCreate, l.path, err))
	}
	if err := d.fs.SyncDir(d.path); err != nil {
		return l, consensus.Persisted{}, l.fail(failure(opSync, d.path, err))
	}
	st, err := l.open()
	if err != nil {
		return l, consensus.Persisted{Snapshot: st.Snapshot}, l.fail(err)
	}
	return l, st, nil
}

func (l *Log) fail(err error) error {
	l.failed = err
	return err
}

func (l *Log) open() (consensus.Persisted, error) {
	var st consensus.Persisted
	names, err := l.fs.ReadDir(l.path)
	if err != nil {
		return st, failure(opRead, l.path, err)
	}
	var sequences []uint64
	var snapshots []string
	hasID := false
	for _, name := range names {
		switch {
		case name == idFile:
			hasID = true
		case strings.HasSuffix(name, tempSuffix):
			if err := l.fs.Remove(filepath.Join(l.path, name)); err != nil {
				return st, failure(opRemove, name, err)
			}
		case strings.HasSuffix(name, segmentSuffix):
			sequence, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
			if err != nil {
				return st, damage(filepath.Join(l.path, name), 0, "name is not a segment number")
			}
			sequences = append(sequences, sequence)
		case strings.HasSuffix(name, snapshotSuffix):
			snapshots = append(snapshots, name)
		}
	}
	if !hasID {
		return st, l.create(sequences, snapshots)
	}
	if err := l.readID(); err != nil {
		return st, err
	}
	if err := l.openSnapshot(snapshots); err != nil {
		return st, err
	}
	st.Snapshot = l.snapshot
	err = l.readSegments(sequences, &st)
	return st, err
}

// create makes a new log. The id file is written last: without it nothing has
// been acknowledged, and a directory that lost it must not pass for a new one.
func (l *Log) create(sequences []uint64, snapshots []string) error {
	if len(sequences) > 1 || len(snapshots) > 0 {
		return damage(filepath.Join(l.path, idFile), 0, "storage id is missing beside existing data")
	}
	if len(sequences) == 1 {
		data, err := l.fs.ReadFile(l.segmentPath(sequences[0]))
		if err != nil {
			return failure(opRead, l.segmentPath(sequences[0]), err)
		}
		if len(data) > segmentHeaderSize {
			return damage(filepath.Join(l.path, idFile), 0, "storage id is missing beside existing data")
		}
	}
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return failure(opCreate, l.path, err)
	}
	l.id = binary.LittleEndian.Uint64(id[:])
	if err := l.startSegment(1); err != nil {
		return err
	}
	return writeWhole(l.fs, filepath.Join(l.path, idFile), []byte(fmt.Sprintf("%016x\n", l.id)))
}

func (l *Log) readID() error {
	file := filepath.Join(l.path, idFile)
	content, err := l.fs.ReadFile(file)
	if err != nil {
		return failure(opRead, file, err)
	}
	l.id, err = strconv.ParseUint(strings.TrimSpace(string(content)), 16, 64)
	if err != nil {
		return damage(file, 0, "not a storage id: %v", err)
	}
	return nil
}

// StorageID identifies this log's directory; a directory that was lost and
// created again has another id.
func (l *Log) StorageID() uint64 { return l.id }

// Err returns the failure that stopped the log, or nil.
func (l *Log) Err() error { return l.failed }

func (l *Log) segmentPath(sequence uint64) string {
	return filepath.Join(l.path, fmt.Sprintf("%016x%s", sequence, segmentSuffix))
}

// startSegment creates a segment with its header and makes it the current one.
func (l *Log) startSegment(sequence uint64) error {
	path := l.segmentPath(sequence)
	f, err := l.fs.Create(path)
	if err != nil {
		return failure(opCreate, path, err)
	}
	header := append([]byte(segmentMagic), make([]byte, 16)...)
	binary.LittleEndian.PutUint64(header[8:], l.id)
	binary.LittleEndian.PutUint64(header[16:], sequence)
	header = binary.LittleEndian.AppendUint32(header, checksum(header))
	if l.hard != (consensus.HardState{}) {
		header = appendFrame(header, appendRecord(nil, recordHard, encodeHard(l.hard)))
	}
	if _, err := f.Write(header); err != nil {
		_ = f.Close()
		return failure(opWrite, path, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return failure(opSync, path, err)
	}
	if err := l.fs.SyncDir(l.path); err != nil {
		_ = f.Close()
		return failure(opSync, l.path, err)
	}
	if l.current != nil {
		_ = l.current.Close()
	}
	l.current, l.size = f, len(header)
	l.segments = append(l.segments, segment{sequence: sequence})
	return nil
}

// Save stores the durable part of an output with one sync: a snapshot to
// install, the hard state and entries. After a failure every later Save fails
// too, because the state of the file is no longer known.
func (l *Log) Save(out consensus.Output) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.save(out); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) save(out consensus.Output) error {
	var payload []byte
	if out.Snapshot != nil {
		if err := l.SaveSnapshot(*out.Snapshot); err != nil {
			return err
		}
		l.last = out.Snapshot.Meta.Index
		payload = resetRecord(l.last)
	}
	if out.HardChanged {
		payload = appendRecord(payload, recordHard, encodeHard(out.Hard))
	}
	for _, e := range out.Entries {
		payload = appendRecord(payload, recordEntry, encodeEntry(e))
		l.last = e.Index
	}
	if len(payload) == 0 {
		return nil
	}
	if l.size >= l.segmentBytes {
		if err := l.startSegment(l.segments[len(l.segments)-1].sequence + 1); err != nil {
			return err
		}
	}
	// A new segment starts with the former hard state: the commit index of this
	// one may cover entries of this frame, and the two must appear together.
	if out.HardChanged {
		l.hard = out.Hard
	}
	return l.write(appendFrame(make([]byte, 0, len(payload)+frameHeaderSize), payload))
}

func (l *Log) write(frame []byte) error {
	segment := &l.segments[len(l.segments)-1]
	path := l.segmentPath(segment.sequence)
	if _, err := l.current.Write(frame); err != nil {
		return failure(opWrite, path, err)
	}
	if err := l.current.Sync(); err != nil {
		return failure(opSync, path, err)
	}
	l.size += len(frame)
	segment.lastIndex = max(segment.lastIndex, l.last)
	return nil
}

// Compact removes the segments that the stored snapshot covers. It starts a
// new segment first when the current one has entries that the snapshot covers
// and is at least a quarter full.
func (l *Log) Compact() error {
	if l.failed != nil {
		return l.failed
	}
	l.snapshotMu.Lock()
	covered := l.snapshot.Index
	l.snapshotMu.Unlock()
	current := l.segments[len(l.segments)-1]
	if current.lastIndex > 0 && current.lastIndex <= covered && l.size >= l.segmentBytes/4 {
		if err := l.startSegment(current.sequence + 1); err != nil {
			return l.fail(err)
		}
	}
	removed := false
	for len(l.segments) > 1 && l.segments[0].lastIndex <= covered {
		if err := l.fs.Remove(l.segmentPath(l.segments[0].sequence)); err != nil {
			return l.fail(failure(opRemove, l.segmentPath(l.segments[0].sequence), err))
		}
		l.segments = l.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	if err := l.fs.SyncDir(l.path); err != nil {
		return l.fail(failure(opSync, l.path, err))
	}
	return nil
}

// Segments returns the number of segment files.
func (l *Log) Segments() int { return len(l.segments) }

// Close closes the files. Everything acknowledged is already durable.
func (l *Log) Close() error {
	if l.current == nil {
		return nil
	}
	err := l.current.Close()
	l.current = nil
	if l.failed == nil {
		l.failed = errClosed
	}
	return err
}

var errClosed = errors.New("log is closed")
