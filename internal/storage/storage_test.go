package storage

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/consensus"
)

const testDir = "/data"

var errTestIO = syscall.EIO

func openTestLog(fs FS, o LogOptions) (*Log, consensus.Persisted, error) {
	d, err := OpenDir(fs, testDir)
	if err != nil {
		return nil, consensus.Persisted{}, err
	}
	l, st, err := d.OpenLog("log", o)
	return l, st, err
}

func entries(term uint64, indexes ...uint64) []consensus.Entry {
	var list []consensus.Entry
	for _, index := range indexes {
		list = append(list, consensus.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("entry %d of term %d", index, term))})
	}
	return list
}

func hard(term uint64, vote string) consensus.HardState {
	return consensus.HardState{Term: term, Vote: consensus.NodeID{Instance: vote, Storage: 7}, Commit: 1}
}

// newFilledFS returns a file system with a log of several segments and a
// snapshot.
func newFilledFS(t testing.TB) *memFS {
	fs := newMemFS()
	l, _, err := openTestLog(fs, LogOptions{SegmentBytes: 200})
	require.NoError(t, err)
	for index := uint64(1); index <= 20; index++ {
		require.NoError(t, l.Save(consensus.Output{HardChanged: true, Hard: hard(index, "b"), Entries: entries(index, index)}))
	}
	require.NoError(t, l.SaveSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 2, Term: 2}, Data: []byte("state")}))
	require.Greater(t, l.Segments(), 3)
	fs.crash(dropTail)
	return fs
}

func segmentPaths(fs *memFS) []string {
	names, _ := fs.ReadDir(filepath.Join(testDir, "log"))
	names = slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, segmentSuffix) })
	for i, name := range names {
		names[i] = filepath.Join(testDir, "log", name)
	}
	return names
}

// Guards against treating a log with changed or missing synced bytes as a
// shorter one, and against errors without the position of the damage.
func TestDamageIsReportedWithItsOffset(t *testing.T) {
	first := func(fs *memFS) string { return segmentPaths(fs)[0] }
	last := func(fs *memFS) string { return segmentPaths(fs)[len(segmentPaths(fs))-1] }
	snapshot := func(*memFS) string { return filepath.Join(testDir, "log", "0000000000000002.snapshot") }
	flip := func(offset int) func(*memFS, string) {
		return func(fs *memFS, path string) {
			data := fs.files[path].data
			data[(offset+len(data))%len(data)] ^= 4
		}
	}
	for _, test := range []struct {
		name   string
		file   func(*memFS) string
		change func(*memFS, string)
		offset int64 // -1: any
	}{
		{"flip in the segment header", first, flip(10), 0},
		{"flip in a frame's length", first, flip(segmentHeaderSize), segmentHeaderSize},
		{"flip in a frame's checksum", first, flip(segmentHeaderSize + 5), segmentHeaderSize},
		{"flip in a payload", first, flip(segmentHeaderSize + frameHeaderSize + 9), segmentHeaderSize},
		{"flip at the end of an earlier segment", first, flip(-1), -1},
		{"earlier segment truncated", first, func(fs *memFS, path string) {
			fs.files[path].data = fs.files[path].data[:len(fs.files[path].data)-3]
		}, -1},
		{"flip in the middle of the last segment", last, flip(segmentHeaderSize + frameHeaderSize + 1), segmentHeaderSize},
		{"flip in the last frame", last, flip(-1), -1},
		{"segment missing in the middle", func(fs *memFS) string { return segmentPaths(fs)[2] }, func(fs *memFS, path string) {
			delete(fs.files, segmentPaths(fs)[1])
		}, 0},
		{"first segment missing", func(fs *memFS) string { return segmentPaths(fs)[1] }, func(fs *memFS, path string) {
			delete(fs.files, first(fs))
		}, 0},
		{"all segments missing", func(*memFS) string { return filepath.Join(testDir, "log") }, func(fs *memFS, path string) {
			for _, name := range segmentPaths(fs) {
				delete(fs.files, name)
			}
		}, 0},
		{"storage id missing", func(*memFS) string { return filepath.Join(testDir, "log", idFile) }, func(fs *memFS, path string) {
			delete(fs.files, path)
		}, 0},
		{"storage id of another log", first, func(fs *memFS, path string) {
			fs.files[filepath.Join(testDir, "log", idFile)].data = []byte("00000000000000aa\n")
		}, 8},
		{"flip in the snapshot", snapshot, flip(30), -1},
		{"snapshot truncated", snapshot, func(fs *memFS, path string) { fs.files[path].data = fs.files[path].data[:9] }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			fs := newFilledFS(t)
			path := test.file(fs)
			test.change(fs, path)
			l, st, err := openTestLog(fs, LogOptions{})
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, Damaged, e.Code)
			require.Equal(t, path, e.File)
			if test.offset >= 0 {
				require.Equal(t, test.offset, e.Offset)
			}
			require.Contains(t, err.Error(), path)
			require.Empty(t, st.Entries)
			require.Error(t, l.Save(consensus.Output{Entries: entries(30, 21)}))
		})
	}
}

// dropTail loses all unsynced bytes.
func dropTail(int, []byte) []byte { return nil }

// sectorEnd returns the length of the part of a tail that ends with the sector
// of byte n. start is the offset of the tail in the file.
func sectorEnd(start, size, n int) int {
	return min(size, (start+n)/sectorSize*sectorSize+sectorSize-start)
}

// zeroFrom clears a tail from the first sector that starts at byte n or later,
// or all of it if n is 0. The disk writes sectors atomically.
func zeroFrom(start int, tail []byte, n int) []byte {
	if n > 0 {
		n = sectorEnd(start, len(tail), n-1)
	}
	clear(tail[n:])
	return tail
}

// Guards against a torn last write that prevents opening the log or that
// discards acknowledged entries.
func TestTornTailIsTruncated(t *testing.T) {
	tornWrites := map[string]func(start int, tail []byte, n int) []byte{
		"truncated":     func(_ int, tail []byte, n int) []byte { return tail[:n] },
		"rest is zero":  func(start int, tail []byte, n int) []byte { return zeroFrom(start, tail, n) },
		"start is zero": func(start int, tail []byte, n int) []byte { clear(tail[:sectorEnd(start, len(tail), n)]); return tail },
	}
	largeEntry := entries(3, 2)
	largeEntry[0].Data = []byte(strings.Repeat("x", 3*sectorSize))
	size := 0
	for name, tear := range tornWrites {
		t.Run(name, func(t *testing.T) {
			for n := 0; n == 0 || n < size; n += 13 {
				fs := newMemFS()
				l, _, err := openTestLog(fs, LogOptions{})
				require.NoError(t, err)
				require.NoError(t, l.Save(consensus.Output{HardChanged: true, Hard: hard(2, "b"), Entries: entries(2, 1)}))
				fs.syncErr = errTestIO
				require.Error(t, l.Save(consensus.Output{Entries: largeEntry}))
				fs.crash(func(start int, tail []byte) []byte {
					size = len(tail)
					return tear(start, tail, n)
				})
				_, st, err := openTestLog(fs, LogOptions{})
				require.NoError(t, err, "torn at %d", n)
				require.Equal(t, hard(2, "b"), st.Hard)
				require.Equal(t, entries(2, 1)[0], st.Entries[0])
			}
		})
	}
}

// Guards against a failure that is reported with the wrong code, and against a
// log that accepts writes after a failed sync.
func TestFailuresStopTheLog(t *testing.T) {
	for _, test := range []struct {
		name   string
		inject func(*memFS)
		code   Code
	}{
		{"sync fails", func(fs *memFS) { fs.syncErr = errTestIO }, SyncFailed},
		{"disk full", func(fs *memFS) { fs.freeBytes, fs.writeErr = 0, syscall.ENOSPC }, DiskFull},
		{"short write", func(fs *memFS) { fs.freeBytes, fs.writeErr = 5, syscall.ENOSPC }, DiskFull},
		{"disk full at sync", func(fs *memFS) { fs.syncErr = syscall.ENOSPC }, DiskFull},
		{"write fails", func(fs *memFS) { fs.freeBytes, fs.writeErr = 7, errTestIO }, IOFailed},
	} {
		for _, step := range []string{"save", "new segment", "snapshot"} {
			t.Run(test.name+" at "+step, func(t *testing.T) {
				fs := newMemFS()
				l, _, err := openTestLog(fs, LogOptions{SegmentBytes: 300})
				require.NoError(t, err)
				require.NoError(t, l.Save(consensus.Output{HardChanged: true, Hard: hard(1, "b"), Entries: entries(1, 1)}))
				if step == "new segment" {
					for l.currentSize < 300 {
						require.NoError(t, l.Save(consensus.Output{HardChanged: true, Hard: hard(1, "b")}))
					}
				}
				test.inject(fs)
				out := consensus.Output{Entries: entries(1, 2)}
				if step == "snapshot" {
					out = consensus.Output{Snapshot: &consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 9, Term: 1}, Data: []byte("state")}}
				}
				err = l.Save(out)
				require.Equal(t, test.code, CodeOf(err), "%v", err)
				fs.syncErr, fs.freeBytes = nil, 1<<30
				require.Equal(t, err, l.Save(out), "a later sync does not prove that the bytes of the failed one are durable")

				fs.crash(dropTail)
				_, st, err := openTestLog(fs, LogOptions{})
				require.NoError(t, err)
				require.Equal(t, entries(1, 1), st.Entries)
				require.Equal(t, hard(1, "b"), st.Hard)
			})
		}
	}
}

// Guards against a reopened log that keeps bytes of a failed write, loses synced
// ones, or is usable while the disk still refuses writes.
func TestReopenedLogHoldsWhatWasSynced(t *testing.T) {
	for _, test := range []struct {
		name   string
		inject func(*memFS)
	}{
		{"sync fails", func(fs *memFS) { fs.syncErr = errTestIO }},
		{"disk full", func(fs *memFS) { fs.freeBytes, fs.writeErr = 0, syscall.ENOSPC }},
		{"short write", func(fs *memFS) { fs.freeBytes, fs.writeErr = 5, syscall.ENOSPC }},
	} {
		for _, step := range []string{"save", "new segment", "snapshot"} {
			t.Run(test.name+" at "+step, func(t *testing.T) {
				fs := newMemFS()
				d, err := OpenDir(fs, testDir)
				require.NoError(t, err)
				l, _, err := d.OpenLog("log", LogOptions{SegmentBytes: 300})
				require.NoError(t, err)
				require.NoError(t, l.Save(consensus.Output{HardChanged: true, Hard: hard(1, "b"), Entries: entries(1, 1)}))
				if step == "new segment" {
					for l.currentSize < 300 {
						require.NoError(t, l.Save(consensus.Output{HardChanged: true, Hard: hard(1, "b")}))
					}
				}
				id := l.StorageID()
				test.inject(fs)
				out := consensus.Output{Entries: entries(1, 2)}
				if step == "snapshot" {
					out = consensus.Output{Snapshot: &consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 9, Term: 1}, Data: []byte("state")}}
				}
				require.Error(t, l.Save(out))
				for range 3 {
					l, _, err = d.ReopenLog(l, "log")
					require.Error(t, err, "the disk refuses writes")
				}

				fs.syncErr, fs.freeBytes = nil, 1<<30
				l, st, err := d.ReopenLog(l, "log")
				require.NoError(t, err)
				require.Equal(t, id, l.StorageID())
				require.Equal(t, entries(1, 1), st.Entries, "the failed write must not be kept")
				require.Equal(t, hard(1, "b"), st.Hard)
				require.NoError(t, l.Save(consensus.Output{HardChanged: true, Hard: hard(2, "c"), Entries: entries(2, 2)}))

				fs.crash(dropTail)
				_, st, err = openTestLog(fs, LogOptions{})
				require.NoError(t, err)
				require.Equal(t, append(entries(1, 1), entries(2, 2)...), st.Entries)
				require.Equal(t, hard(2, "c"), st.Hard)
			})
		}
	}
}

// Guards against two processes that use one directory, and against reading an
// unknown directory layout.
func TestDirectoryIsLockedAndVersioned(t *testing.T) {
	path := t.TempDir()
	d, err := OpenDir(OS{}, path)
	require.NoError(t, err)
	_, err = OpenDir(OS{}, path)
	require.Equal(t, Locked, CodeOf(err))
	l, _, err := d.OpenLog("log", LogOptions{})
	require.NoError(t, err)
	id := l.StorageID()
	require.NoError(t, l.Close())
	require.NoError(t, d.Close())

	d, err = OpenDir(OS{}, path)
	require.NoError(t, err)
	l, _, err = d.OpenLog("log", LogOptions{})
	require.NoError(t, err)
	require.Equal(t, id, l.StorageID())
	other, _, err := d.OpenLog("other", LogOptions{})
	require.NoError(t, err)
	require.NotEqual(t, id, other.StorageID())
	require.NoError(t, writeFileAtomically(OS{}, filepath.Join(path, formatFile), []byte("2\n")))
	require.NoError(t, errors.Join(l.Close(), other.Close(), d.Close()))
	_, err = OpenDir(OS{}, path)
	require.Equal(t, WrongVersion, CodeOf(err))
}

// model is the state that a log must return after a restart.
type model struct {
	hard     consensus.HardState
	snapshot consensus.SnapshotMeta
	entries  []consensus.Entry
}

func (m model) save(out consensus.Output) model {
	if out.HardChanged {
		m.hard = out.Hard
	}
	if out.Snapshot != nil {
		m.snapshot, m.entries = out.Snapshot.Meta, nil
	}
	for _, e := range out.Entries {
		keep := slices.IndexFunc(m.entries, func(o consensus.Entry) bool { return o.Index >= e.Index })
		if keep < 0 {
			keep = len(m.entries)
		}
		m.entries = append(slices.Clone(m.entries[:keep]), e)
	}
	return m
}

func (m model) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// compacted returns the model after a snapshot of the log's own entries up to
// index.
func (m model) compacted(index uint64) model {
	i := index - m.snapshot.Index
	m.snapshot = consensus.SnapshotMeta{Index: index, Term: m.entries[i-1].Term}
	m.entries = m.entries[i:]
	return m
}

// Guards against a crash, at any file operation, that loses acknowledged state
// or leaves an operation partially applied.
func TestCrashAtAnyOperation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs, o := newMemFS(), LogOptions{SegmentBytes: rapid.IntRange(100, 600).Draw(t, "segment")}
		var acknowledged, attempted model
		term := uint64(1)
		for crashes := 0; crashes < 4; crashes++ {
			l, st, err := openTestLog(fs, o)
			require.NoError(t, err)
			recovered := model{st.Hard, st.Snapshot, st.Entries}
			if len(recovered.entries) == 0 {
				recovered.entries = nil
			}
			// An installed snapshot is stored before the records of the same output.
			partial := model{hard: acknowledged.hard, snapshot: attempted.snapshot}
			if !equalModels(recovered, acknowledged) && !equalModels(recovered, attempted) && !equalModels(recovered, partial) {
				t.Fatalf("recovered %+v, acknowledged %+v, attempted %+v", recovered, acknowledged, attempted)
			}
			acknowledged = recovered
			fs.operationsLeft = rapid.IntRange(0, 60).Draw(t, "operations")
			for err == nil {
				term += rapid.Uint64Range(0, 1).Draw(t, "term")
				attempted, err = randomOperation(t, l, acknowledged, term)
				if err == nil {
					acknowledged = attempted
				}
			}
			zero := rapid.Bool().Draw(t, "zero")
			fs.keepName = func(name string) bool { return rapid.Bool().Draw(t, "keeps "+name) }
			fs.crash(func(start int, tail []byte) []byte {
				n := rapid.IntRange(0, len(tail)).Draw(t, "kept")
				if zero {
					return zeroFrom(start, tail, n)
				}
				return tail[:n]
			})
		}
	})
}

// Guards against a log that counts as damaged after a loss of power that keeps the
// removal of a later segment and loses that of an earlier one.
func TestRemovedSegmentsLeaveNoGap(t *testing.T) {
	for kept := range 4 {
		fs := newMemFS()
		l, _, err := openTestLog(fs, LogOptions{SegmentBytes: 100})
		require.NoError(t, err)
		for index := uint64(1); index <= 20; index++ {
			require.NoError(t, l.Save(consensus.Output{HardChanged: true, Hard: hard(1, "b"), Entries: entries(1, index)}))
		}
		paths := segmentPaths(fs)
		require.NoError(t, l.SaveSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 18, Term: 1}, Data: []byte("state")}))
		// The machine loses power after each number of removals.
		fs.operationsLeft = 2*kept + 1
		require.Error(t, l.Compact())
		last := ""
		for _, path := range paths {
			if fs.files[path] == nil {
				last = path
			}
		}
		fs.keepName = func(name string) bool { return name == last }
		fs.crash(dropTail)
		_, st, err := openTestLog(fs, LogOptions{})
		require.NoError(t, err)
		require.Equal(t, entries(1, 19, 20), st.Entries)
	}
}

func equalModels(a, b model) bool {
	return a.hard == b.hard && a.snapshot.Index == b.snapshot.Index && a.snapshot.Term == b.snapshot.Term &&
		slices.EqualFunc(a.entries, b.entries, func(x, y consensus.Entry) bool {
			return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
		})
}

// randomOperation performs one operation and returns the model after it.
func randomOperation(t *rapid.T, l *Log, m model, term uint64) (model, error) {
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		if len(m.entries) == 0 {
			return m, nil
		}
		next := m.compacted(m.snapshot.Index + rapid.Uint64Range(1, uint64(len(m.entries))).Draw(t, "covered"))
		if err := l.SaveSnapshot(consensus.Snapshot{Meta: next.snapshot, Data: []byte("own")}); err != nil {
			return next, err
		}
		return next, l.Compact()
	case 1:
		s := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: m.last() + rapid.Uint64Range(1, 3).Draw(t, "ahead"), Term: term}, Data: []byte("theirs")}
		out := consensus.Output{Snapshot: &s, Entries: entries(term, s.Meta.Index+1)}
		return m.save(out), l.Save(out)
	}
	from := m.last() + 1 - rapid.Uint64Range(0, uint64(min(2, len(m.entries)))).Draw(t, "replaced")
	out := consensus.Output{HardChanged: true, Hard: hard(term, "v"), Entries: entries(term, from, from+1)}
	return m.save(out), l.Save(out)
}

// BenchmarkSave measures writing and syncing one frame.
func BenchmarkSave(b *testing.B) {
	for _, count := range []int{1, 256} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			d, err := OpenDir(OS{}, b.TempDir())
			require.NoError(b, err)
			l, _, err := d.OpenLog("log", LogOptions{})
			require.NoError(b, err)
			out := consensus.Output{Entries: make([]consensus.Entry, count)}
			for i := range b.N {
				for j := range count {
					out.Entries[j] = consensus.Entry{Index: uint64(i*count + j + 1), Term: 1, Data: make([]byte, 200)}
				}
				require.NoError(b, l.Save(out))
			}
			require.NoError(b, errors.Join(l.Close(), d.Close()))
		})
	}
}
