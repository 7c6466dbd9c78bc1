package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// BlockReader reads the events of a stream as the bytes in which they were
// sent, for passing them on unchanged.
type BlockReader struct {
	in       *bufio.Reader
	maxBytes int
	block    []byte
}

// NewBlockReader returns a reader that refuses events larger than maxBytes.
func NewBlockReader(in io.Reader, maxBytes int) *BlockReader {
	return &BlockReader{in: bufio.NewReaderSize(in, 4<<10), maxBytes: maxBytes}
}

// Read returns the next event with the blank line that ends it, and its
// numeric id, -1 without one. The block is valid until the next Read. It
// returns io.EOF when the stream ends between events and io.ErrUnexpectedEOF
// when it ends inside one.
func (r *BlockReader) Read() (block []byte, position int64, err error) {
	r.block = r.block[:0]
	position = -1
	for {
		line, err := r.in.ReadSlice('\n')
		r.block = append(r.block, line...)
		if err != nil {
			return nil, -1, readError(err, len(r.block) > 0)
		}
		if len(r.block) > r.maxBytes {
			return nil, -1, ErrEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
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

// Buffered reports whether a whole event can be read without waiting.
func (r *BlockReader) Buffered() bool {
	buffered, _ := r.in.Peek(r.in.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
