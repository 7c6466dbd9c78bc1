package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against fresh requests being taken for late ones because a few callers
// wait longer than the others: nearly all were deferred.
func TestElapsedFollowsTheMajority(t *testing.T) {
	var u usualTimes
	for n := range 200 {
		patience := 8 * time.Second
		switch n % 10 {
		case 3:
			patience = 20 * time.Second
		case 7:
			patience = time.Duration(3000+n) * time.Millisecond
		}
		elapsed := u.elapsed("route", patience)
		if n < 20 {
			continue
		}
		switch n % 10 {
		case 7:
			require.Equal(t, 8*time.Second-patience, elapsed)
		default:
			require.Zero(t, elapsed, "request %d", n)
		}
	}
	require.Zero(t, u.elapsed("route", 0))
}

// Guards against a spell of overload that passes for the usual time.
func TestUsualTimeWithstandsOverload(t *testing.T) {
	var u usualTimes
	for range 100 {
		u.add("s", "m", 150*time.Millisecond)
	}
	for range 10 {
		u.add("s", "m", 5*time.Second)
	}
	require.Less(t, u.get("s", "m"), 190*time.Millisecond)
	for range 40 {
		u.add("s", "m", 150*time.Millisecond)
	}
	require.Less(t, u.get("s", "m"), 165*time.Millisecond)
}
