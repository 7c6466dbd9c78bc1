package sse

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against events that are modified, and against a truncated event that is
// returned as a complete one.
func TestBlocks(t *testing.T) {
	r := NewRawReader(strings.NewReader("id: 1\ndata: a\n\nweight: 3\nid:2\r\ndata: b\r\n\r\ndata: c\n"), 1<<10)
	block, position, err := r.Read()
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(block))
	require.EqualValues(t, 1, position)
	require.True(t, r.Buffered())
	block, position, err = r.Read()
	require.NoError(t, err)
	require.Equal(t, "weight: 3\nid:2\r\ndata: b\r\n\r\n", string(block))
	require.EqualValues(t, 2, position)
	require.False(t, r.Buffered())
	_, _, err = r.Read()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against comments that are taken for events.
func TestHasData(t *testing.T) {
	for block, want := range map[string]bool{
		"data: a\n\n": true, "id: 1\r\ndata:a\r\n\r\n": true, "data\n\n": true,
		": ping\n\n": false, "\n\n": false, "id: 1\n\n": false, "database: a\n\n": false, ":data: a\n\n": false,
	} {
		require.Equal(t, want, HasData([]byte(block)), "%q", block)
	}
}

// Guards against text that is no part of a stream, such as an error or the head of a
// response, and against rejecting what a stream may contain.
func TestValid(t *testing.T) {
	for block, want := range map[string]bool{
		"data: a\n\n": true, "id: 1\r\nevent: e\r\ndata:a\r\ndata\r\n\r\n": true, "retry: 10\n\n": true, ": ping\n\n": true, ":\n\n": true, "\n\n": true,
		"weight-versions: 3\nid: 1\ndata: a\n\n": true, "data: HTTP/1.1 500\n\n": true,
		"HTTP/1.1 500 Internal Server Error\r\n\r\n": false, "HTTP/1.1 200 OK\r\ndata: a\n\n": false, "Content-Type: text/plain\r\ndata: a\n\n": false,
		"upstream connect error\n\n": false, "failed: no memory\n\n": false, "failed\ndata: a\n\n": false, "{\"error\":1}\n\n": false, " data: a\n\n": false,
	} {
		require.Equal(t, want, Valid([]byte(block)), "%q", block)
	}
}

// Guards against unbounded memory use by an upstream that sends a huge event.
func TestBlockLimit(t *testing.T) {
	r := NewRawReader(strings.NewReader(strings.Repeat("data: xxxxxxxx\n", 100)+"\n"), 64)
	_, _, err := r.Read()
	require.ErrorIs(t, err, ErrEventTooLarge)
}

// Guards against input that crashes the reader, and against blocks that lose or
// change bytes: together they must be a prefix of the stream.
func FuzzBlocks(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n:x\n\n")
	f.Add("id: 99999999999999999999\n\n")
	f.Add("data: x\n\n\n")
	f.Add("data: x\r\n\r\n\r\n\r\n")
	for _, length := range []int{4095, 4096, 65_536} {
		f.Add("data: " + strings.Repeat("x", length) + "\n\n")
	}
	f.Fuzz(func(t *testing.T, stream string) {
		r := NewRawReader(strings.NewReader(stream), 1<<20)
		var all strings.Builder
		for {
			block, _, err := r.Read()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, ErrEventTooLarge) {
					t.Fatal(err)
				}
				break
			}
			all.Write(block)
		}
		if !strings.HasPrefix(stream, all.String()) {
			t.Fatalf("%q is not a prefix of %q", all.String(), stream)
		}
	})
}

// Guards against events that are cut off because a line is longer than a buffer, and
// against a limit that does not hold. Both readers are checked.
func TestLongLines(t *testing.T) {
	const limit = 1 << 20
	for _, end := range []string{"\n", "\r\n"} {
		for _, length := range []int{10, 4094, 4095, 4096, 4097, 16<<10 - 1, 16 << 10, 16<<10 + 1, 65_536, limit - 2*len(end), limit - 2*len(end) + 1} {
			line := "data: " + strings.Repeat("x", length-len("data: "))
			event := line + end + end
			whole := event + "id: 2" + end + "data: y" + end + end
			raw, parsed := NewRawReader(strings.NewReader(whole), limit), NewReader(strings.NewReader(whole), limit)
			block, _, err := raw.Read()
			var e Event
			parsedErr := parsed.Read(&e)
			if len(event) > limit {
				require.ErrorIs(t, err, ErrEventTooLarge, "%d bytes", length)
				require.ErrorIs(t, parsedErr, ErrEventTooLarge, "%d bytes", length)
				continue
			}
			require.NoError(t, err, "%d bytes", length)
			require.Equal(t, event, string(block))
			require.NoError(t, parsedErr, "%d bytes", length)
			require.Equal(t, line, "data: "+string(e.Data))
			_, position, err := raw.Read()
			require.NoError(t, err)
			require.EqualValues(t, 2, position)
			require.NoError(t, parsed.Read(&e))
			require.Equal(t, "y", string(e.Data))
		}
	}
}

// Guards against a complete stream that counts as cut off because blank lines follow its
// last event.
func TestBlankLinesAtTheEnd(t *testing.T) {
	for _, rest := range []string{"", "\n", "\r\n", "\n\n", "\r\n\r\n"} {
		raw, parsed := NewRawReader(strings.NewReader("data: x\n\n"+rest), 100), NewReader(strings.NewReader("data: x\n\n"+rest), 100)
		_, _, err := raw.Read()
		require.NoError(t, err)
		for err == nil {
			var block []byte
			block, _, err = raw.Read()
			require.False(t, HasData(block))
		}
		require.Equal(t, io.EOF, err, "%q", rest)
		var e Event
		require.NoError(t, parsed.Read(&e))
		require.Equal(t, io.EOF, parsed.Read(&e), "%q", rest)
	}
	_, _, err := NewRawReader(strings.NewReader("\n: comment\n"), 100).Read()
	require.Equal(t, io.ErrUnexpectedEOF, err)
}
