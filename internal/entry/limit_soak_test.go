package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitSoakSeeds is the number of seeds of TestLimitSoak that CI runs.
const limitSoakSeeds = 4

// Guards against limits of upstreams that hold only while nothing else goes wrong:
// entries restart in overlapping series and are cut off from each other, while
// clients use open connections until the entry is gone. The platform excuses entries
// that restart or are cut; here they count.
func TestLimitSoak(t *testing.T) {
	count := uint64(limitSoakSeeds)
	if text := os.Getenv(soakSeeds); text != "" {
		n, err := strconv.ParseUint(text, 10, 16)
		require.NoError(t, err)
		count = n
	}
	for seed := range count {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runLimitSoak(t, seed)
		})
	}
}

func runLimitSoak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newEntryCluster(t, 3+random.IntN(4))
	rate, offered := 2+10*random.Float64(), 15+30*random.Float64()
	limited := startLimitedEngine(t, c, "limited", strconv.FormatFloat(rate, 'f', 2, 64))
	startLimitedEngine(t, c, "free", "")
	all := make([]int, len(c.ids))
	for n := range all {
		all[n] = n
	}
	require.Eventually(t, func() bool {
		status, _, _ := c.chat(len(all)-1, "first", "body", "")
		return status == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond)
	from, ended := time.Now().Add(contact), time.Now().Add(contact+soakDuration)
	s := &crashSoak{cluster: c}
	var faults sync.WaitGroup
	for n := range len(all) - 1 {
		plan := rand.New(rand.NewPCG(seed, 2+uint64(n)))
		faults.Go(func() { s.restartEntry(plan, n, ended) })
	}
	cuts := rand.New(rand.NewPCG(seed, 101))
	faults.Go(func() { s.cutEntries(cuts, ended) })
	sent, served, others := sendChats(c, all, offered, contact+soakDuration)
	faults.Wait()
	most := limited.mostInWindow(from)
	t.Logf("%d entries, limit %.2f, %.0f offered: %d in a window at most (%d allowed), %d in all; %d of %d served, others %v",
		len(all), rate, offered, most, requestsAllowed(rate), limited.since(from), served, sent, others)
	require.LessOrEqual(t, most, requestsAllowed(rate))
	require.Positive(t, limited.since(from))
	require.GreaterOrEqual(t, 2*served, sent, "half of the requests must be served")
}
