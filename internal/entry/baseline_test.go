package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against classifying new requests as retries when a few callers
// announce a longer timeout than the others, which deferred nearly all
// requests.
func TestElapsedFollowsTheMajority(t *testing.T) {
	var b baselineLatencies
	for n := range 200 {
		timeout := 8 * time.Second
		switch n % 10 {
		case 3:
			timeout = 20 * time.Second
		case 7:
			timeout = time.Duration(3000+n) * time.Millisecond
		}
		elapsed := b.elapsed("route", timeout)
		if n < 20 {
			continue
		}
		switch n % 10 {
		case 7:
			require.Equal(t, 8*time.Second-timeout, elapsed)
		default:
			require.Zero(t, elapsed, "request %d", n)
		}
	}
	require.Zero(t, b.elapsed("route", 0))
}

// Guards against a baseline latency that rises during a period of overload.
func TestBaselineLatencyDuringOverload(t *testing.T) {
	var b baselineLatencies
	for range 100 {
		b.add("s", "m", 150*time.Millisecond)
	}
	for range 10 {
		b.add("s", "m", 5*time.Second)
	}
	require.Less(t, b.get("s", "m"), 190*time.Millisecond)
	for range 40 {
		b.add("s", "m", 150*time.Millisecond)
	}
	require.Less(t, b.get("s", "m"), 165*time.Millisecond)
}
