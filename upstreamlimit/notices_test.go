package upstreamlimit

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against odd values that take an upstream out for ever or end a process, and
// against valid ones that are ignored.
func TestParsePause(t *testing.T) {
	now := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name   string
		values []string
		want   time.Duration
	}{
		{"absent", nil, 0},
		{"empty", []string{""}, 0},
		{"seconds", []string{"3"}, 3 * time.Second},
		{"a fraction", []string{" 0.25 "}, 250 * time.Millisecond},
		{"zero", []string{"0"}, 0},
		{"negative", []string{"-4"}, 0},
		{"no number", []string{"NaN"}, 0},
		{"infinite", []string{"Inf"}, MaxPause},
		{"negative infinite", []string{"-Inf"}, 0},
		{"too large", []string{"1000000000000000000"}, MaxPause},
		{"out of range", []string{"1e400"}, 0},
		{"text", []string{"soon"}, 0},
		{"a date", []string{"Sat, 05 Dec 2026 10:00:07 GMT"}, 7 * time.Second},
		{"a past date", []string{"Sat, 05 Dec 2026 09:59:00 GMT"}, 0},
		{"a far date", []string{"Sat, 05 Dec 2099 10:00:00 GMT"}, MaxPause},
		{"several", []string{"2", "9"}, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := http.Header{}
			for _, v := range test.values {
				h.Add("Retry-After", v)
			}
			got, ok := ParsePause(now, h)
			require.Equal(t, test.want, got)
			require.Equal(t, test.want > 0, ok)
		})
	}
}

// Guards against an upstream that is taken out by a header that does not say that it
// leaves.
func TestParseLeaving(t *testing.T) {
	for value, want := range map[string]bool{"1": true, " 1 ": true, "": false, "0": false, "true": false, "-1": false, "11": false, "1,0": false} {
		require.Equal(t, want, ParseLeaving(value), value)
	}
}

// Guards against notices that end early, that outlive their process, or that count
// for another incarnation.
func TestNotices(t *testing.T) {
	now := time.Unix(1000, 0)
	a, next := Target{Upstream: "a", Incarnation: 1}, Target{Upstream: "a", Incarnation: 2}
	var n Notices
	require.Zero(t, n.PausedFor(now, a))
	require.True(t, n.Pause(now, a, 3*time.Second))
	require.False(t, n.Pause(now, a, time.Second), "a shorter pause does not end a longer one")
	require.Equal(t, time.Second, n.PausedFor(now.Add(2*time.Second), a))
	require.Zero(t, n.PausedFor(now.Add(3*time.Second), a))
	require.Zero(t, n.PausedFor(now, next))

	require.True(t, n.Leave(now, a))
	require.False(t, n.Leave(now, a))
	require.True(t, n.Leaving(a))
	require.False(t, n.Leaving(next), "a new incarnation starts clean")

	gone := func(Target) bool { return false }
	n.Retain(now.Add(noticeRetention), gone)
	require.True(t, n.Leaving(a), "an older list may restore the record")
	n.Retain(now.Add(noticeRetention+time.Second), func(Target) bool { return true })
	require.True(t, n.Leaving(a))
	n.Retain(now.Add(noticeRetention+time.Second), gone)
	require.Zero(t, n.Count())

	n.Pause(now, next, time.Second)
	n.Retain(now.Add(time.Second), func(Target) bool { return true })
	require.Zero(t, n.Count())
}
