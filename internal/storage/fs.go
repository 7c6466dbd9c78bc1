package storage

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// FS is the file system interface that the package uses. Tests replace it to
// inject faults.
type FS interface {
	MkdirAll(path string) error
	// Create creates or truncates a file and opens it for writing.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a directory in sorted order.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the creation, renaming and removal of files in a directory
	// durable.
	SyncDir(path string) error
	// Lock acquires an exclusive lock, which is released when the closer is
	// closed or the process exits. It fails if the lock is already held.
	Lock(path string) (io.Closer, error)
}

// File is a file opened for writing. Written bytes are durable after Sync.
type File interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}

// OS is the operating system's file system.
type OS struct{}

const (
	fileMode = 0o600
	dirMode  = 0o700
)

// MkdirAll implements FS.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, dirMode) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir implements FS.
func (OS) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Lock implements FS with flock, which the kernel releases when the process
// exits for any reason.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}
