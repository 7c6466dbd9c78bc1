package routingload

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Constants of the workload: prompts of 32 blocks of 64 tokens and answers of
// 240 tokens in the mean.
const (
	sharedPrefixes  = 2000
	zipfExponent    = 1.0
	minShared       = 8 // blocks
	maxShared       = 40
	minOwn          = 2 // blocks of one turn
	maxOwn          = 8
	continueShare   = 0.4 // of requests that continue a conversation
	conversations   = 4096
	maxPromptBlocks = 96
	meanTokens      = 240
)

// workload generates requests whose prompts begin with a shared prefix of zipf
// popularity, or continue an earlier conversation.
type workload struct {
	random   *rand.Rand
	entries  int
	popular  []float64 // cumulative weights of the shared prefixes
	shared   [][]uint64
	recent   [][]uint64 // prompts of recent conversations
	position int
}

func newWorkload(seed uint64, entries int) *workload {
	w := &workload{random: rand.New(rand.NewPCG(seed, 2)), entries: entries}
	sum := 0.0
	for i := range sharedPrefixes {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		w.popular = append(w.popular, sum)
		w.shared = append(w.shared, w.extend(nil, minShared+w.random.IntN(maxShared-minShared+1)))
	}
	return w
}

func (w *workload) extend(blocks []uint64, n int) []uint64 {
	out := append(make([]uint64, 0, len(blocks)+n), blocks...)
	for range n {
		out = append(out, w.random.Uint64())
	}
	return out
}

func (w *workload) next() *request {
	own := minOwn + w.random.IntN(maxOwn-minOwn+1)
	var base []uint64
	if len(w.recent) > 0 && w.random.Float64() < continueShare {
		base = w.recent[w.random.IntN(len(w.recent))]
	}
	if base == nil || len(base)+own > maxPromptBlocks {
		at := w.random.Float64() * w.popular[len(w.popular)-1]
		base = w.shared[sort.SearchFloat64s(w.popular, at)]
	}
	blocks := w.extend(base, own)
	if len(w.recent) < conversations {
		w.recent = append(w.recent, blocks)
	} else {
		w.recent[w.position%conversations] = blocks
		w.position++
	}
	return &request{
		entry: w.random.IntN(w.entries), blocks: blocks,
		tokens: 1 + int(w.random.ExpFloat64()*meanTokens),
	}
}

// gap returns the time to the next request at a mean rate per second.
func (w *workload) gap(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}
