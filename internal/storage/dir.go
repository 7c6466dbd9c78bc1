// Package storage persists replicated logs. Each log consists of a segmented
// write-ahead log and the latest snapshot in a subdirectory of a locked data
// directory. Nothing is reported as saved before the file and its directory are
// synced.
package storage

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"syscall"
)

// formatVersion is the version of the data directory layout. A directory with
// another version is rejected and not modified.
const formatVersion = "1"

const (
	lockFile   = "lock"
	formatFile = "format"
	tempSuffix = ".tmp"
)

// Code classifies an Error.
type Code string

// Codes of errors.
const (
	// Damaged means that synced bytes have changed or are missing.
	Damaged Code = "damaged"
	// DiskFull means that the disk or the quota is full.
	DiskFull Code = "disk_full"
	// SyncFailed means that the kernel may have dropped written bytes. A later
	// successful sync does not prove that they are durable.
	SyncFailed Code = "sync_failed"
	// IOFailed covers all other file system errors.
	IOFailed Code = "io_failed"
	// Locked means that another process uses the data directory.
	Locked Code = "locked"
	// WrongVersion means that the data directory has another format version.
	WrongVersion Code = "wrong_version"
)

// Error is a storage error. Offset is the position of the damage in File and is
// set only for Damaged.
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

// CodeOf returns the code of a storage error, or IOFailed for other errors.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return IOFailed
}

// ioError wraps an error of a file operation with the matching code.
func ioError(op, file string, err error) error {
	code := IOFailed
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		code = DiskFull
	case op == opSync:
		code = SyncFailed
	}
	return &Error{Code: code, Op: op, File: file, Err: err}
}

// damagedError reports damaged content at an offset of a file.
func damagedError(file string, offset int64, format string, args ...any) error {
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

// Dir is a locked data directory that contains one or more logs.
type Dir struct {
	fs   FS
	path string
	lock io.Closer
}

// OpenDir creates or opens a data directory and locks it against other
// processes.
func OpenDir(fs FS, path string) (*Dir, error) {
	if err := fs.MkdirAll(path); err != nil {
		return nil, ioError(opCreate, path, err)
	}
	if err := fs.SyncDir(filepath.Dir(path)); err != nil {
		return nil, ioError(opSync, filepath.Dir(path), err)
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

// checkFormat checks the format version, or writes it in a new directory.
func (d *Dir) checkFormat() error {
	names, err := d.fs.ReadDir(d.path)
	if err != nil {
		return ioError(opRead, d.path, err)
	}
	file := filepath.Join(d.path, formatFile)
	for _, name := range names {
		if name != formatFile {
			continue
		}
		content, err := d.fs.ReadFile(file)
		if err != nil {
			return ioError(opRead, file, err)
		}
		if found := strings.TrimSpace(string(content)); found != formatVersion {
			return &Error{Code: WrongVersion, Op: opRead, File: file,
				Err: fmt.Errorf("format version %q is not supported, want %q", found, formatVersion)}
		}
		return nil
	}
	return writeFileAtomically(d.fs, file, []byte(formatVersion+"\n"))
}

// Path returns the directory's path.
func (d *Dir) Path() string { return d.path }

// Close releases the lock. All logs must be closed first.
func (d *Dir) Close() error { return d.lock.Close() }

// writeFileAtomically replaces a file durably. A crash leaves either the old or
// the new content.
func writeFileAtomically(fs FS, path string, chunks ...[]byte) error {
	temp := path + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return ioError(opCreate, temp, err)
	}
	for _, chunk := range chunks {
		if _, err := f.Write(chunk); err != nil {
			_ = f.Close()
			return ioError(opWrite, temp, err)
		}
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return ioError(opSync, temp, err)
	}
	if err := f.Close(); err != nil {
		return ioError(opWrite, temp, err)
	}
	if err := fs.Rename(temp, path); err != nil {
		return ioError(opRename, path, err)
	}
	if err := fs.SyncDir(filepath.Dir(path)); err != nil {
		return ioError(opSync, filepath.Dir(path), err)
	}
	return nil
}
