package background

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against goroutines that start while or after Wait returns: they use what
// their component has closed.
func TestNothingRunsAfterWait(t *testing.T) {
	for range 200 {
		var g Group
		var closed atomic.Bool
		var starters sync.WaitGroup
		for range 4 {
			starters.Go(func() {
				for g.Go(func() { require.False(t, closed.Load()) }) {
				}
			})
		}
		g.Wait()
		closed.Store(true)
		starters.Wait()
		require.False(t, g.Go(func() {}))
	}
}
