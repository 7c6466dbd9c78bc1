// Package storage keeps the durable state of replicated logs: a write-ahead
// log in segments and the latest snapshot, under one locked data directory.
// Nothing is reported as saved before the file and its directory are synced.
package storage

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"syscall"
)

// formatVersion is the version of the layout of a data directory. A directory
// with another version is refused and left as it is.
const formatVersion = "1"

const (
	lockFile   = "lock"
	formatFile = "format"
	tempSuffix = ".tmp"
)

// Code says what kind of failure an Error reports.
type Code string

// Codes of errors.
const (
	// Damaged means that bytes that were synced have changed or are missing.
	Damaged Code = "damaged"
	// DiskFull means that a write found no space.
	DiskFull Code = "disk_full"
	// SyncFailed means that the kernel may have dropped written bytes. A later
	// sync that succeeds says nothing about them.
	SyncFailed Code = "sync_failed"
	// IOFailed covers the other failures of the file system.
	IOFailed Code = "io_failed"
	// Locked means that another process uses the data directory.
	Locked Code = "locked"
	// WrongVersion means that the data directory has another format.
	WrongVersion Code = "wrong_version"
)

// Error is a failure of the storage, with the file and, for Damaged, the
// offset at which it was found.
type Error struct {
	Code   Code
	Op     string
	File   string
	Offset int64
	Err    error
}

func (e *Error) Error() string {
	if e.Code == Damaged {
		return fmt.Sprintf("%s %s at offset %d: %v", e.Op, e.File, e.Offset, e.Err)
	}
	return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the code of a storage error, IOFailed for other errors.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return IOFailed
}

func failure(op, file string, err error) error {
	code := IOFailed
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		code = DiskFull
	case op == opSync:
		code = SyncFailed
	}
	return &Error{Code: code, Op: op, File: file, Err: err}
}

func damage(file string, offset int64, format string, args ...any) error {
	return &Error{Code: Damaged, Op: opRead, File: file, Offset: offset, Err: fmt.Errorf(format, args...)}
}

const (
	opCreate = "create"
	opRead   = "read"
	opWrite  = "write"
	opSync   = "sync"
	opRename = "rename"
	opRemove = "remove"
)

// Dir is a locked data directory. Several logs share it.
type Dir struct {
	fs   FS
	path string
	lock io.Closer
}

// OpenDir creates or opens a data directory and locks it against other
// processes.
func OpenDir(fs FS, path string) (*Dir, error) {
	if err := fs.MkdirAll(path); err != nil {
		return nil, failure(opCreate, path, err)
	}
	if err := fs.SyncDir(filepath.Dir(path)); err != nil {
		return nil, failure(opSync, filepath.Dir(path), err)
	}
	lock, err := fs.Lock(filepath.Join(path, lockFile))
	if err != nil {
		return nil, &Error{Code: Locked, Op: "lock", File: filepath.Join(path, lockFile), Err: err}
	}
	d := &Dir{fs: fs, path: path, lock: lock}
	if err := d.checkFormat(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dir) checkFormat() error {
	names, err := d.fs.ReadDir(d.path)
	if err != nil {
		return failure(opRead, d.path, err)
	}
	file := filepath.Join(d.path, formatFile)
	for _, name := range names {
		if name != formatFile {
			continue
		}
		content, err := d.fs.ReadFile(file)
		if err != nil {
			return failure(opRead, file, err)
		}
		if found := strings.TrimSpace(string(content)); found != formatVersion {
			return &Error{Code: WrongVersion, Op: opRead, File: file,
				Err: fmt.Errorf("format version %q, this program reads %q", found, formatVersion)}
		}
		return nil
	}
	return writeWhole(d.fs, file, []byte(formatVersion+"\n"))
}

// Path returns the directory's path.
func (d *Dir) Path() string { return d.path }

// Close releases the lock. The logs must be closed before.
func (d *Dir) Close() error { return d.lock.Close() }

// writeWhole replaces a file so that a crash leaves the old or the new one.
func writeWhole(fs FS, path string, chunks ...[]byte) error {
	temp := path + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return failure(opCreate, temp, err)
	}
	for _, chunk := range chunks {
		if _, err := f.Write(chunk); err != nil {
			_ = f.Close()
			return failure(opWrite, temp, err)
		}
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return failure(opSync, temp, err)
	}
	if err := f.Close(); err != nil {
		return failure(opWrite, temp, err)
	}
	if err := fs.Rename(temp, path); err != nil {
		return failure(opRename, path, err)
	}
	if err := fs.SyncDir(filepath.Dir(path)); err != nil {
		return failure(opSync, filepath.Dir(path), err)
	}
	return nil
}
