package routingload

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Parameters of the workload. On average, prompts have 32 blocks of 64 tokens
// and answers 240 tokens.
const (
	sharedPrefixCount       = 2000
	zipfExponent            = 1.0
	minSharedBlocks         = 8
	maxSharedBlocks         = 40
	minTurnBlocks           = 2 // blocks added by one turn
	maxTurnBlocks           = 8
	continuationProbability = 0.4 // probability that a request continues a conversation
	maxRecentConversations  = 4096
	maxPromptBlocks         = 96
	meanAnswerTokens        = 240
)

// workload generates requests whose prompts either begin with a shared prefix,
// drawn from a Zipf distribution, or continue an earlier conversation.
type workload struct {
	random            *rand.Rand
	entries           int
	cumulativeWeights []float64 // of sharedPrefixes, for drawing one
	sharedPrefixes    [][]uint64
	recent            [][]uint64 // prompts of recent conversations
	nextRecent        int
}

func newWorkload(seed uint64, entries int) *workload {
	w := &workload{random: rand.New(rand.NewPCG(seed, 2)), entries: entries}
	sum := 0.0
	for i := range sharedPrefixCount {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		w.cumulativeWeights = append(w.cumulativeWeights, sum)
		w.sharedPrefixes = append(w.sharedPrefixes, w.appendRandomBlocks(nil, minSharedBlocks+w.random.IntN(maxSharedBlocks-minSharedBlocks+1)))
	}
	return w
}

func (w *workload) appendRandomBlocks(blocks []uint64, n int) []uint64 {
	out := append(make([]uint64, 0, len(blocks)+n), blocks...)
	for range n {
		out = append(out, w.random.Uint64())
	}
	return out
}

func (w *workload) nextRequest() *request {
	turnBlocks := minTurnBlocks + w.random.IntN(maxTurnBlocks-minTurnBlocks+1)
	var base []uint64
	if len(w.recent) > 0 && w.random.Float64() < continuationProbability {
		base = w.recent[w.random.IntN(len(w.recent))]
	}
	if base == nil || len(base)+turnBlocks > maxPromptBlocks {
		point := w.random.Float64() * w.cumulativeWeights[len(w.cumulativeWeights)-1]
		base = w.sharedPrefixes[sort.SearchFloat64s(w.cumulativeWeights, point)]
	}
	blocks := w.appendRandomBlocks(base, turnBlocks)
	if len(w.recent) < maxRecentConversations {
		w.recent = append(w.recent, blocks)
	} else {
		w.recent[w.nextRecent%maxRecentConversations] = blocks
		w.nextRecent++
	}
	return &request{
		entry: w.random.IntN(w.entries), blocks: blocks,
		tokens: 1 + int(w.random.ExpFloat64()*meanAnswerTokens),
	}
}

// interarrival draws the time to the next request of a Poisson process with a
// rate in requests per second.
func (w *workload) interarrival(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}
