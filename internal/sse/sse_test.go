package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a truncated event that is returned as a complete one.
func TestReadFaults(t *testing.T) {
	cases := []struct {
		name, in string
		want     error
	}{
		{"empty", "", io.EOF},
		{"ends inside a line", "data: a", io.ErrUnexpectedEOF},
		{"ends before the blank line", "data: a\n", io.ErrUnexpectedEOF},
		{"comment only", ": ping\n\n", io.EOF},
		{"too large", "data: " + strings.Repeat("x", 100) + "\n\n", ErrEventTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var e Event
			require.ErrorIs(t, NewReader(strings.NewReader(c.in), 64).Read(&e), c.want)
		})
	}
}

// Guards against fields that are lost or joined incorrectly when an event is
// written and read back.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Event{
			Name:     rapid.StringMatching(`[a-z]{0,6}`).Draw(t, "name"),
			Position: rapid.Int64Min(-1).Draw(t, "position"),
			Data:     []byte(rapid.StringMatching(`[ -~]{1,20}(\n[ -~]{1,20})?`).Draw(t, "data")),
		}
		var out Event
		r := NewReader(bytes.NewReader(Append(nil, &in)), 1<<10)
		require.NoError(t, r.Read(&out))
		require.Equal(t, in, out)
		require.ErrorIs(t, r.Read(&out), io.EOF)
	})
}

// Guards against a wrong Buffered: a reader that relies on it would wait for
// more input before it forwards the events that it has.
func TestBuffered(t *testing.T) {
	cases := []struct {
		name, rest string
		want       bool
	}{
		{"nothing", "", false},
		{"part of an event", "data: b\n", false},
		{"comment", ": ping\n\n", false},
		{"comment, then part of an event", ": ping\n\ndata: b\n", false},
		{"event", "data: b\n\n", true},
		{"event with position", "id: 2\ndata: b\n\n", true},
		{"carriage returns", "id: 2\r\ndata: b\r\n\r\n", true},
		{"bad position only", "id: x\n\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewReader(strings.NewReader("data: a\n\n"+c.rest), 64)
			var e Event
			require.NoError(t, r.Read(&e))
			require.Equal(t, c.want, r.Buffered())
			if c.want {
				require.NoError(t, r.Read(&e))
			}
		})
	}
}
