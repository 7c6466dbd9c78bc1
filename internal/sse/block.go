package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// RawReader reads the events of a stream as raw bytes, so that they can be
// forwarded unchanged.
type RawReader struct {
	in       *bufio.Reader
	maxBytes int
	block    []byte
}

// NewRawReader returns a reader that rejects events larger than maxBytes.
func NewRawReader(in io.Reader, maxBytes int) *RawReader {
	return &RawReader{in: bufio.NewReaderSize(in, 4<<10), maxBytes: maxBytes}
}

// Read returns the next event, including the blank line that ends it, and its
// numeric id, or -1 without one. The block is valid until the next Read. Read
// returns io.EOF when the stream ends between events and io.ErrUnexpectedEOF
// when it ends inside one.
func (r *RawReader) Read() (block []byte, position int64, err error) {
	r.block = r.block[:0]
	position = -1
	for {
		start := len(r.block)
		var err error
		r.block, err = appendLine(r.block, r.in, r.maxBytes-start)
		if err != nil {
			// Blank lines after the last event are no part of another one.
			return nil, -1, readError(err, len(bytes.TrimRight(r.block, "\r\n")) > 0)
		}
		line := bytes.TrimRight(r.block[start:], "\r\n")
		if len(line) == 0 && len(r.block) > len("\r\n") {
			return r.block, position, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64); err == nil {
				position = n
			}
		}
	}
}

// Buffered reports whether the next Read returns a complete event without
// waiting for more input.
func (r *RawReader) Buffered() bool {
	buffered, _ := r.in.Peek(r.in.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// HasData reports whether a block is an event. A block of comments and other
// fields alone is not dispatched to the receiver of a stream.
func HasData(block []byte) bool {
	for line := range bytes.Lines(block) {
		if bytes.HasPrefix(line, []byte("data:")) || bytes.Equal(bytes.TrimRight(line, "\r\n"), []byte("data")) {
			return true
		}
	}
	return false
}

// Valid reports whether a block consists of comments and fields. Field names that
// the standard does not define are accepted beside data only, in lower case: a line
// that an upstream has written for another purpose, such as the head of a response,
// is no field.
func Valid(block []byte) bool {
	hasData := HasData(block)
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !isStandardField(name) && !(hasData && found && isFieldName(name)) {
			return false
		}
	}
	return true
}

func isStandardField(name []byte) bool {
	switch string(name) {
	case "data", "id", "event", "retry":
		return true
	}
	return false
}

// isFieldName reports whether a name consists of lower-case letters, digits and
// hyphens.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return len(name) > 0
}
