package storage

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
)

// memFS is an in-memory file system that loses unsynced names and bytes at a
// crash and can be told to fail operations.
type memFS struct {
	files        map[string]*memFile
	durableFiles map[string]*memFile
	locked       map[string]bool

	// freeBytes is the number of bytes that can still be written. A write beyond
	// it is short and fails with writeErr.
	freeBytes int
	writeErr  error
	syncErr   error
	dirErr    error
	crashed   bool // every operation fails from now on
	// keepName decides for each name that was created, renamed or removed since the
	// last SyncDir whether the change survives a crash; nil means that none does.
	keepName func(name string) bool
	// operationsLeft is the number of modifying operations until crashed is set.
	operationsLeft int
}

type memFile struct {
	fs           *memFS
	data, synced []byte
}

var errCrashed = errors.New("the machine has crashed")

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durableFiles: map[string]*memFile{}, locked: map[string]bool{}, freeBytes: 1 << 30, operationsLeft: 1 << 30}
}

// countOperation counts a modifying operation and fails if the file system has
// crashed.
func (m *memFS) countOperation() error {
	m.operationsLeft--
	m.crashed = m.crashed || m.operationsLeft < 0
	if m.crashed {
		return errCrashed
	}
	return nil
}

// namesAfterCrash returns the names that remain after a crash: those of the last
// SyncDir, with each later change for which keepName returns true.
func (m *memFS) namesAfterCrash() map[string]*memFile {
	remaining := maps.Clone(m.durableFiles)
	if m.keepName == nil {
		return remaining
	}
	names := maps.Clone(m.durableFiles)
	maps.Copy(names, m.files)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		current, exists := m.files[name]
		if current == m.durableFiles[name] || !m.keepName(name) {
			continue
		}
		if exists {
			remaining[name] = current
		} else {
			delete(remaining, name)
		}
	}
	return remaining
}

// crash discards unsynced names and bytes, except for the part of each file's
// unsynced tail that keep returns. start is the offset of the tail in the file.
// The file system works again afterwards.
func (m *memFS) crash(keep func(start int, tail []byte) []byte) {
	m.crashed, m.operationsLeft, m.syncErr, m.dirErr, m.freeBytes = false, 1<<30, nil, nil, 1<<30
	m.files, m.locked = m.namesAfterCrash(), map[string]bool{}
	m.durableFiles = maps.Clone(m.files)
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		f := m.files[name]
		var tail []byte
		if len(f.data) > len(f.synced) {
			tail = keep(len(f.synced), slices.Clone(f.data[len(f.synced):]))
		}
		f.data = append(slices.Clone(f.synced), tail...)
		f.synced = slices.Clone(f.data)
	}
}

func (m *memFS) MkdirAll(string) error { return m.countOperation() }

func (m *memFS) Create(path string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	m.files[path] = &memFile{fs: m}
	return m.files[path], nil
}

func (m *memFS) Append(path string) (File, error) {
	if m.files[path] == nil {
		return nil, fs.ErrNotExist
	}
	return m.files[path], m.countOperation()
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	if m.files[path] == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(m.files[path].data), nil
}

func (m *memFS) ReadDir(path string) ([]string, error) {
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == path {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	delete(m.files, path)
	return nil
}

func (m *memFS) SyncDir(path string) error {
	if err := errors.Join(m.countOperation(), m.dirErr); err != nil {
		return err
	}
	maps.DeleteFunc(m.durableFiles, func(name string, _ *memFile) bool { return filepath.Dir(name) == path })
	for name, f := range m.files {
		if filepath.Dir(name) == path {
			m.durableFiles[name] = f
		}
	}
	return nil
}

func (m *memFS) Lock(path string) (io.Closer, error) {
	if m.locked[path] {
		return nil, errors.New("locked")
	}
	m.locked[path] = true
	return closerFunc(func() { m.locked[path] = false }), nil
}

type closerFunc func()

func (f closerFunc) Close() error {
	f()
	return nil
}

func (f *memFile) Write(b []byte) (int, error) {
	if err := f.fs.countOperation(); err != nil {
		f.data = append(f.data, b...)
		return 0, err
	}
	n := min(len(b), f.fs.freeBytes)
	f.fs.freeBytes -= n
	f.data = append(f.data, b[:n]...)
	if n < len(b) {
		return n, f.fs.writeErr
	}
	return n, nil
}

func (f *memFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return f.fs.countOperation()
}

func (f *memFile) Sync() error {
	if err := errors.Join(f.fs.countOperation(), f.fs.syncErr); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
