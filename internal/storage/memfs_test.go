package storage

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
)

// memFS is a file system in memory that loses unsynced names and bytes at a
// crash and fails operations on demand.
type memFS struct {
	names   map[string]*memFile
	durable map[string]*memFile
	locked  map[string]bool

	// room is the number of bytes that can still be written; a write beyond it
	// is short and fails with full.
	room     int
	full     error
	syncErr  error
	dirErr   error
	crashing bool // every operation fails from now on
	// budget is the number of changing operations until crashing is set.
	budget int
}

type memFile struct {
	fs           *memFS
	data, synced []byte
}

var errCrashed = errors.New("the machine has crashed")

func newMemFS() *memFS {
	return &memFS{names: map[string]*memFile{}, durable: map[string]*memFile{}, locked: map[string]bool{}, room: 1 << 30, budget: 1 << 30}
}

// step counts an operation that changes something.
func (m *memFS) step() error {
	m.budget--
	m.crashing = m.crashing || m.budget < 0
	if m.crashing {
		return errCrashed
	}
	return nil
}

// crash forgets what was not synced, but for the part of each file's unsynced
// tail that keep returns. start is the tail's offset in the file.
func (m *memFS) crash(keep func(start int, tail []byte) []byte) {
	m.crashing, m.budget, m.syncErr, m.dirErr, m.room = false, 1<<30, nil, nil, 1<<30
	m.names, m.locked = maps.Clone(m.durable), map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		f := m.names[name]
		var tail []byte
		if len(f.data) > len(f.synced) {
			tail = keep(len(f.synced), slices.Clone(f.data[len(f.synced):]))
		}
		f.data = append(slices.Clone(f.synced), tail...)
		f.synced = slices.Clone(f.data)
	}
}

func (m *memFS) MkdirAll(string) error { return m.step() }

func (m *memFS) Create(path string) (File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	m.names[path] = &memFile{fs: m}
	return m.names[path], nil
}

func (m *memFS) Append(path string) (File, error) {
	if m.names[path] == nil {
		return nil, fs.ErrNotExist
	}
	return m.names[path], m.step()
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	if m.names[path] == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(m.names[path].data), nil
}

func (m *memFS) ReadDir(path string) ([]string, error) {
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == path {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.names, path)
	return nil
}

func (m *memFS) SyncDir(path string) error {
	if err := errors.Join(m.step(), m.dirErr); err != nil {
		return err
	}
	maps.DeleteFunc(m.durable, func(name string, _ *memFile) bool { return filepath.Dir(name) == path })
	for name, f := range m.names {
		if filepath.Dir(name) == path {
			m.durable[name] = f
		}
	}
	return nil
}

func (m *memFS) Lock(path string) (io.Closer, error) {
	if m.locked[path] {
		return nil, errors.New("locked")
	}
	m.locked[path] = true
	return unlock(func() { m.locked[path] = false }), nil
}

type unlock func()

func (u unlock) Close() error {
	u()
	return nil
}

func (f *memFile) Write(b []byte) (int, error) {
	if err := f.fs.step(); err != nil {
		f.data = append(f.data, b...)
		return 0, err
	}
	n := min(len(b), f.fs.room)
	f.fs.room -= n
	f.data = append(f.data, b[:n]...)
	if n < len(b) {
		return n, f.fs.full
	}
	return n, nil
}

func (f *memFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return f.fs.step()
}

func (f *memFile) Sync() error {
	if err := errors.Join(f.fs.step(), f.fs.syncErr); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
