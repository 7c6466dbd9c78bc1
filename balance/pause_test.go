package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the end of a pause that releases all callers at one instant. All
// upstreams of a model ask for a pause under load: callers that arrive meanwhile are
// refused with the rest of it and return once.
func TestReturnsAfterPauseAreSpread(t *testing.T) {
	const (
		pause     = 3 * time.Second
		perSecond = 400
		window    = 100 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 1))
	returns := map[time.Duration]int{}
	earliest, most := time.Duration(1<<62), 0
	for n := range int(pause.Seconds() * perSecond) {
		refused := time.Duration(n) * time.Second / perSecond
		candidates := []Candidate{candidate(0), candidate(3)}
		candidates[0].LimitedFor, candidates[1].LimitedFor = pause-refused, pause-refused+time.Second
		d := Choose(random, costs(), request(), candidates)
		require.Negative(t, d.Index, "refused at once")
		require.Equal(t, ReasonLimited, d.Reason)
		at := refused + SpreadReturn(random, pause-refused)
		earliest = min(earliest, at)
		returns[at.Truncate(window)]++
		most = max(most, returns[at.Truncate(window)])
	}
	t.Logf("%d callers, at most %d of them in %s", int(pause.Seconds()*perSecond), most, window)
	require.GreaterOrEqual(t, earliest, pause, "nobody returns before the end of the pause")
	// Without the spread, all 1,200 return in one window. Spread evenly over a second
	// there are 120 in each.
	require.LessOrEqual(t, most, 240)
}
