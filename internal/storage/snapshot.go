package storage

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/bluebellfield/bluebellfield/consensus"
)

const (
	snapshotSuffix = ".snapshot"
	snapshotMagic  = "BBFSNAP1"
	// A snapshot file consists of magic (8) | length of meta (4) | meta as JSON |
	// data | CRC32-C (4).
	snapshotHeaderSize = 12
	checksumSize       = 4
)

// ErrNoSnapshot means that the log has no snapshot yet.
var ErrNoSnapshot = errors.New("no snapshot")

func (l *Log) snapshotPath(index uint64) string {
	return filepath.Join(l.path, fmt.Sprintf("%016x%s", index, snapshotSuffix))
}

// SaveSnapshot stores a snapshot durably and removes the previous one. It
// ignores a snapshot that is older than the stored one.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if s.Meta.Index < l.snapshot.Index {
		return nil
	}
	meta, err := json.Marshal(s.Meta)
	if err != nil {
		return ioError(opWrite, l.path, err)
	}
	header := binary.LittleEndian.AppendUint32([]byte(snapshotMagic), uint32(len(meta)))
	header = append(header, meta...)
	sum := checksum(header)
	sum = updateChecksum(sum, s.Data)
	if err := writeFileAtomically(l.fs, l.snapshotPath(s.Meta.Index), header, s.Data, binary.LittleEndian.AppendUint32(nil, sum)); err != nil {
		return err
	}
	previous := l.snapshot.Index
	l.snapshot = s.Meta
	if previous == 0 || previous == s.Meta.Index {
		return nil
	}
	if err := l.fs.Remove(l.snapshotPath(previous)); err != nil {
		return ioError(opRemove, l.snapshotPath(previous), err)
	}
	return nil
}

// LoadSnapshot reads the latest snapshot.
func (l *Log) LoadSnapshot() (consensus.Snapshot, error) {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if l.snapshot.Index == 0 {
		return consensus.Snapshot{}, ErrNoSnapshot
	}
	return l.readSnapshot(l.snapshotPath(l.snapshot.Index))
}

func (l *Log) readSnapshot(path string) (consensus.Snapshot, error) {
	var s consensus.Snapshot
	content, err := l.fs.ReadFile(path)
	if err != nil {
		return s, ioError(opRead, path, err)
	}
	if len(content) < snapshotHeaderSize+checksumSize || string(content[:8]) != snapshotMagic {
		return s, damagedError(path, 0, "invalid snapshot header")
	}
	end := len(content) - checksumSize
	if checksum(content[:end]) != binary.LittleEndian.Uint32(content[end:]) {
		return s, damagedError(path, int64(end), "checksum does not match")
	}
	metaEnd := snapshotHeaderSize + int(binary.LittleEndian.Uint32(content[8:]))
	if metaEnd > end {
		return s, damagedError(path, 8, "metadata is longer than the file")
	}
	if err := json.Unmarshal(content[snapshotHeaderSize:metaEnd], &s.Meta); err != nil {
		return s, damagedError(path, snapshotHeaderSize, "%v", err)
	}
	s.Data = content[metaEnd:end]
	return s, nil
}

// openSnapshot reads the latest snapshot and removes older ones that remain
// after a crash. The names are sorted by index.
func (l *Log) openSnapshot(names []string) error {
	if len(names) == 0 {
		return nil
	}
	newest := filepath.Join(l.path, names[len(names)-1])
	s, err := l.readSnapshot(newest)
	if err != nil {
		return err
	}
	if want := strings.TrimSuffix(names[len(names)-1], snapshotSuffix); want != fmt.Sprintf("%016x", s.Meta.Index) {
		return damagedError(newest, 0, "snapshot ends at entry %d, unlike its file name", s.Meta.Index)
	}
	l.snapshot = s.Meta
	// An earlier process may have ended between the renaming of the snapshot and the
	// sync. Later removals of what it covers could survive a loss of power that
	// undoes the renaming.
	if err := l.fs.SyncDir(l.path); err != nil {
		return ioError(opSync, l.path, err)
	}
	for _, name := range names[:len(names)-1] {
		if err := l.fs.Remove(filepath.Join(l.path, name)); err != nil {
			return ioError(opRemove, name, err)
		}
	}
	return nil
}
