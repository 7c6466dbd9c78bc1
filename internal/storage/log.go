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
	// segmentHeaderSize covers magic (8) | storage id (8) | sequence (8) |
	// CRC32-C (4).
	segmentHeaderSize = 28
	// DefaultSegmentBytes is small enough to read a segment into memory at once
	// and large enough to keep the number of segments low.
	DefaultSegmentBytes = 4 << 20
)

// segment is one file of the write-ahead log.
type segment struct {
	sequence uint64
	// lastIndex is the highest index of all entries that were written to the
	// segment, including entries that were replaced later.
	lastIndex uint64
}

// Log stores one replicated log. Save, Compact and Close must be called from
// one goroutine; the snapshot functions may be called from another.
type Log struct {
	fs           FS
	path         string
	id           uint64
	segmentBytes int

	segments    []segment
	current     File
	currentSize int
	hardState   consensus.HardState
	lastIndex   uint64
	failure     error

	snapshotMu sync.Mutex
	snapshot   consensus.SnapshotMeta
}

// LogOptions configures a Log. Zero fields are replaced by the defaults.
type LogOptions struct {
	// SegmentBytes is the size from which a new segment is started.
	SegmentBytes int
}

// OpenLog opens or creates a log in a subdirectory and returns its state. If the
// log cannot be opened, it returns the error together with the parts that could
// be read: the storage id and the snapshot, without entries.
func (d *Dir) OpenLog(name string, o LogOptions) (*Log, consensus.Persisted, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: d.fs, path: filepath.Join(d.path, name), segmentBytes: o.SegmentBytes}
	if err := d.fs.MkdirAll(l.path); err != nil {
		return l, consensus.Persisted{}, l.fail(ioError(opCreate, l.path, err))
	}
	if err := d.fs.SyncDir(d.path); err != nil {
		return l, consensus.Persisted{}, l.fail(ioError(opSync, d.path, err))
	}
	st, err := l.open()
	if err != nil {
		return l, consensus.Persisted{Snapshot: st.Snapshot}, l.fail(err)
	}
	return l, st, nil
}

// ReopenLog opens the files of a failed log again, after the cause of the failure
// may be gone, and returns the state that a restarted process would find. It
// first discards what the failed log wrote after its last sync, because a sync
// that succeeds after a failed one does not prove that these bytes are durable.
// It fails if the disk does not accept writes yet. The failed log must not be
// used afterwards.
func (d *Dir) ReopenLog(failed *Log, name string) (*Log, consensus.Persisted, error) {
	if err := failed.discardUnsynced(); err != nil {
		return failed, consensus.Persisted{}, err
	}
	l, st, err := d.OpenLog(name, LogOptions{SegmentBytes: failed.segmentBytes})
	if err == nil {
		// Reading and truncating may succeed on a full disk; a new segment shows
		// that the disk accepts writes.
		err = l.startSegment(l.segments[len(l.segments)-1].sequence + 1)
	}
	if err != nil {
		_ = l.Close()
		return failed, consensus.Persisted{}, err
	}
	return l, st, nil
}

// discardUnsynced truncates the current segment after the last frame that was
// synced and closes it. A log that could not be opened has no current segment.
func (l *Log) discardUnsynced() error {
	if l.current == nil {
		return nil
	}
	path := l.segmentPath(l.segments[len(l.segments)-1].sequence)
	if err := l.current.Truncate(int64(l.currentSize)); err != nil {
		return ioError(opWrite, path, err)
	}
	if err := l.current.Sync(); err != nil {
		return ioError(opSync, path, err)
	}
	return l.Close()
}

// fail records an error after which the log accepts no more writes.
func (l *Log) fail(err error) error {
	l.failure = err
	return err
}

func (l *Log) open() (consensus.Persisted, error) {
	var st consensus.Persisted
	names, err := l.fs.ReadDir(l.path)
	if err != nil {
		return st, ioError(opRead, l.path, err)
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
				return st, ioError(opRemove, name, err)
			}
		case strings.HasSuffix(name, segmentSuffix):
			sequence, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
			if err != nil {
				return st, damagedError(filepath.Join(l.path, name), 0, "file name is not a segment number")
			}
			sequences = append(sequences, sequence)
		case strings.HasSuffix(name, snapshotSuffix):
			snapshots = append(snapshots, name)
		}
	}
	if !hasID {
		return st, l.create(sequences, snapshots)
	}
	if err := l.readStorageID(); err != nil {
		return st, err
	}
	if err := l.openSnapshot(snapshots); err != nil {
		return st, err
	}
	st.Snapshot = l.snapshot
	err = l.readSegments(sequences, &st)
	return st, err
}

// create creates a new log. It writes the id file last, so nothing has been
// acknowledged as long as the file does not exist. A directory with data but
// without the id file is damaged and must not be treated as new.
func (l *Log) create(sequences []uint64, snapshots []string) error {
	if len(sequences) > 1 || len(snapshots) > 0 {
		return damagedError(filepath.Join(l.path, idFile), 0, "storage id is missing beside existing data")
	}
	if len(sequences) == 1 {
		data, err := l.fs.ReadFile(l.segmentPath(sequences[0]))
		if err != nil {
			return ioError(opRead, l.segmentPath(sequences[0]), err)
		}
		if len(data) > segmentHeaderSize {
			return damagedError(filepath.Join(l.path, idFile), 0, "storage id is missing beside existing data")
		}
	}
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return ioError(opCreate, l.path, err)
	}
	l.id = binary.LittleEndian.Uint64(id[:])
	if err := l.startSegment(1); err != nil {
		return err
	}
	return writeFileAtomically(l.fs, filepath.Join(l.path, idFile), []byte(fmt.Sprintf("%016x\n", l.id)))
}

func (l *Log) readStorageID() error {
	file := filepath.Join(l.path, idFile)
	content, err := l.fs.ReadFile(file)
	if err != nil {
		return ioError(opRead, file, err)
	}
	l.id, err = strconv.ParseUint(strings.TrimSpace(string(content)), 16, 64)
	if err != nil {
		return damagedError(file, 0, "invalid storage id: %v", err)
	}
	return nil
}

// StorageID returns the id of this log's directory. A directory that is created
// again after a loss has another id.
func (l *Log) StorageID() uint64 { return l.id }

// Err returns the error after which the log accepts no more writes, or nil.
func (l *Log) Err() error { return l.failure }

func (l *Log) segmentPath(sequence uint64) string {
	return filepath.Join(l.path, fmt.Sprintf("%016x%s", sequence, segmentSuffix))
}

// startSegment creates a segment with its header and makes it the current one.
func (l *Log) startSegment(sequence uint64) error {
	path := l.segmentPath(sequence)
	f, err := l.fs.Create(path)
	if err != nil {
		return ioError(opCreate, path, err)
	}
	header := append([]byte(segmentMagic), make([]byte, 16)...)
	binary.LittleEndian.PutUint64(header[8:], l.id)
	binary.LittleEndian.PutUint64(header[16:], sequence)
	header = binary.LittleEndian.AppendUint32(header, checksum(header))
	if l.hardState != (consensus.HardState{}) {
		header = appendFrame(header, appendRecord(nil, recordHardState, encodeHardState(l.hardState)))
	}
	if _, err := f.Write(header); err != nil {
		_ = f.Close()
		return ioError(opWrite, path, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return ioError(opSync, path, err)
	}
	if err := l.fs.SyncDir(l.path); err != nil {
		_ = f.Close()
		return ioError(opSync, l.path, err)
	}
	if l.current != nil {
		_ = l.current.Close()
	}
	l.current, l.currentSize = f, len(header)
	l.segments = append(l.segments, segment{sequence: sequence})
	return nil
}

// Save stores the durable part of an output, which is a snapshot to install, the
// hard state and entries. The hard state and the entries share one sync. After
// a failure every later Save fails too, because the content of the file is no
// longer known; ReopenLog continues with what was synced before.
func (l *Log) Save(out consensus.Output) error {
	if l.failure != nil {
		return l.failure
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
		l.lastIndex = out.Snapshot.Meta.Index
		payload = resetRecord(l.lastIndex)
	}
	if out.HardChanged {
		payload = appendRecord(payload, recordHardState, encodeHardState(out.Hard))
	}
	for _, e := range out.Entries {
		payload = appendRecord(payload, recordEntry, encodeEntry(e))
		l.lastIndex = e.Index
	}
	if len(payload) == 0 {
		return nil
	}
	if l.currentSize >= l.segmentBytes {
		if err := l.startSegment(l.segments[len(l.segments)-1].sequence + 1); err != nil {
			return err
		}
	}
	// The hard state is updated only now, so that a segment started above begins
	// with the previous one. The commit index of the new hard state may cover
	// entries of this frame, so the two must be stored together.
	if out.HardChanged {
		l.hardState = out.Hard
	}
	return l.writeFrame(appendFrame(make([]byte, 0, len(payload)+frameHeaderSize), payload))
}

func (l *Log) writeFrame(frame []byte) error {
	segment := &l.segments[len(l.segments)-1]
	path := l.segmentPath(segment.sequence)
	if _, err := l.current.Write(frame); err != nil {
		return ioError(opWrite, path, err)
	}
	if err := l.current.Sync(); err != nil {
		return ioError(opSync, path, err)
	}
	l.currentSize += len(frame)
	segment.lastIndex = max(segment.lastIndex, l.lastIndex)
	return nil
}

// Compact removes the segments that the stored snapshot covers. If the snapshot
// covers all entries of the current segment and the segment is at least a
// quarter full, it first starts a new segment, so that this one is removed too.
func (l *Log) Compact() error {
	if l.failure != nil {
		return l.failure
	}
	l.snapshotMu.Lock()
	covered := l.snapshot.Index
	l.snapshotMu.Unlock()
	current := l.segments[len(l.segments)-1]
	if current.lastIndex > 0 && current.lastIndex <= covered && l.currentSize >= l.segmentBytes/4 {
		if err := l.startSegment(current.sequence + 1); err != nil {
			return l.fail(err)
		}
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= covered {
		if err := l.fs.Remove(l.segmentPath(l.segments[0].sequence)); err != nil {
			return l.fail(ioError(opRemove, l.segmentPath(l.segments[0].sequence), err))
		}
		// A loss of power may keep the removal of one file and lose that of another.
		// Without a sync between them, a segment in the middle could be missing.
		if err := l.fs.SyncDir(l.path); err != nil {
			return l.fail(ioError(opSync, l.path, err))
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Segments returns the number of segment files.
func (l *Log) Segments() int { return len(l.segments) }

// Close closes the current segment. All acknowledged data is already durable.
func (l *Log) Close() error {
	if l.current == nil {
		return nil
	}
	err := l.current.Close()
	l.current = nil
	if l.failure == nil {
		l.failure = errClosed
	}
	return err
}

var errClosed = errors.New("log is closed")
