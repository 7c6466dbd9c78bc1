// Package sse reads and writes server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrEventTooLarge is returned for an event that exceeds the reader's limit.
var ErrEventTooLarge = errors.New("server-sent event exceeds the size limit")

// Done is the data of the event that ends a complete chat completion stream.
var Done = []byte("[DONE]")

// Event is one server-sent event. Its slices are valid until the next Read.
type Event struct {
	// Name is the event field, empty for the default type.
	Name string
	// Position is the numeric id of the event, or -1 when it has none.
	Position int64
	// Data is the data field; several data lines are joined by newlines.
	Data []byte
}

// IsDone reports whether the event ends a complete stream.
func (e *Event) IsDone() bool { return bytes.Equal(e.Data, Done) }

// Reader reads events from a stream.
type Reader struct {
	in       *bufio.Reader
	maxBytes int
	line     []byte
	data     []byte
}

// NewReader returns a reader that rejects events larger than maxBytes.
func NewReader(in io.Reader, maxBytes int) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 16<<10), maxBytes: maxBytes}
}

// Read returns the next event. It returns io.EOF when the stream ends between
// events and io.ErrUnexpectedEOF when it ends inside one.
func (r *Reader) Read(e *Event) error {
	*e = Event{Position: -1}
	r.data = r.data[:0]
	size, fields := 0, 0
	for {
		var err error
		r.line, err = appendLine(r.line[:0], r.in, r.maxBytes-size)
		size += len(r.line)
		if err != nil {
			return readError(err, size > 0)
		}
		line := bytes.TrimRight(r.line, "\r\n")
		if len(line) > 0 {
			fields += r.parse(e, line)
			continue
		}
		if fields > 0 {
			e.Data = r.data
			return nil
		}
		size = 0
	}
}

// Buffered reports whether the next Read returns an event without waiting for
// more input. It may report false although an event is complete, when the event
// does not begin with an id or data field.
func (r *Reader) Buffered() bool {
	buffered, _ := r.in.Peek(r.in.Buffered())
	// Read skips a block of comments and would then wait for an event.
	if !bytes.HasPrefix(buffered, []byte("id:")) && !bytes.HasPrefix(buffered, []byte("data:")) {
		return false
	}
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// appendLine appends the next line with its end to buf, which may be longer than the
// reader's buffer. It returns ErrEventTooLarge if the line exceeds maxBytes.
func appendLine(buf []byte, in *bufio.Reader, maxBytes int) ([]byte, error) {
	for length := 0; ; {
		part, err := in.ReadSlice('\n')
		length += len(part)
		if length > maxBytes {
			return buf, ErrEventTooLarge
		}
		buf = append(buf, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return buf, err
		}
	}
}

// readError converts an error of the buffered reader. Partial means that part of
// an event has been read.
func readError(err error, partial bool) error {
	if errors.Is(err, io.EOF) && partial {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parse applies one line to e and returns the number of known fields in it, 0 or
// 1.
func (r *Reader) parse(e *Event, line []byte) int {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	case "id":
		if position, err := strconv.ParseInt(string(value), 10, 64); err == nil {
			e.Position = position
		}
	case "event":
		e.Name = string(value)
	default:
		return 0
	}
	return 1
}

// Append appends the wire form of e to buf.
func Append(buf []byte, e *Event) []byte {
	if e.Position >= 0 {
		buf = append(buf, "id: "...)
		buf = strconv.AppendInt(buf, e.Position, 10)
		buf = append(buf, '\n')
	}
	if e.Name != "" {
		buf = append(buf, "event: "...)
		buf = append(buf, e.Name...)
		buf = append(buf, '\n')
	}
	for rest := e.Data; ; {
		line, tail, more := bytes.Cut(rest, []byte("\n"))
		buf = append(buf, "data: "...)
		buf = append(buf, line...)
		buf = append(buf, '\n')
		if !more {
			break
		}
		rest = tail
	}
	return append(buf, '\n')
}
