package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

const (
	// mixSamples is the number of requests by which the mix of a model is known, and
	// minMixSamples the least number.
	mixSamples    = 128
	minMixSamples = 8
	// longRank is the fraction of the work that is for answers which are not long.
	longRank = 0.9
	// maxTimeFraction is the fraction of their time limit that long answers may take in
	// a full group without one being reserved for them. The rest is for queues, slow
	// passes and streams that go on elsewhere.
	maxTimeFraction = 0.75
	// reservedShare is the work that is placed at the reserved group, as a multiple of
	// that of a group. Short requests take what is left while it is not full.
	reservedShare = 1.2
	// reservedLoad is the load of the reserved group up to which it takes any request,
	// and otherLoad that of the other groups up to which they take long answers.
	reservedLoad = 0.8
	otherLoad    = 0.5
)

// Mix is the mix of the latest requests for a model. It is not safe for concurrent use.
type Mix struct {
	samples [mixSamples]mixSample
	count   int
}

type mixSample struct {
	answerTokens int
	// read is the time to read the prompt; work adds the share of the generation.
	read, work time.Duration
}

// Observe records a request.
func (m *Mix) Observe(e *enginemodel.Engine, model *enginemodel.Model, promptTokens, answerTokens int) {
	m.samples[m.count%mixSamples] = mixSample{answerTokens, e.ReadTime(model, promptTokens), e.ServiceTime(model, promptTokens, answerTokens)}
	m.count++
}

// Rank returns the fraction of the work that is for shorter answers. Requests with
// answers of the same length are spread over the fraction that they take together.
func (m *Mix) Rank(random *rand.Rand, answerTokens int) float64 {
	var shorter, same, total time.Duration
	for _, s := range m.latest() {
		total += s.work
		switch {
		case s.answerTokens < answerTokens:
			shorter += s.work
		case s.answerTokens == answerTokens:
			same += s.work
		}
	}
	if total <= 0 {
		return random.Float64()
	}
	return (float64(shorter) + random.Float64()*float64(same)) / float64(total)
}

// NeedsReservedGroup reports whether long answers may not end within the time limit
// in a group that is full of this mix. An engine reads the prompts of new requests
// between the tokens of the running ones, so that an answer takes the longer the
// shorter the others are.
func (m *Mix) NeedsReservedGroup(e *enginemodel.Engine, model *enginemodel.Model, limit time.Duration) bool {
	latest := slices.Clone(m.latest())
	if len(latest) < minMixSamples {
		return false
	}
	var answers int
	var read, work time.Duration
	for _, s := range latest {
		answers, read, work = answers+s.answerTokens, read+s.read, work+s.work
	}
	slices.SortFunc(latest, func(a, b mixSample) int { return cmp.Compare(a.answerTokens, b.answerTokens) })
	long, below := 0, time.Duration(0)
	for _, s := range latest {
		if below += s.work; float64(below) >= longRank*float64(work) {
			long = s.answerTokens
			break
		}
	}
	token := e.StepTime(model, e.Slots) + time.Duration(float64(e.Slots)*float64(read)/float64(max(answers, 1)))
	return time.Duration(long)*token > time.Duration(maxTimeFraction*float64(limit))
}

func (m *Mix) latest() []mixSample { return m.samples[:min(m.count, mixSamples)] }

// reserve returns the usable candidates for a ranked request. The last candidate, which
// is the same one at all entries, is reserved for the longest answers while it is
// loaded; the others take these only while they are not.
func reserve(rank float64, usable []int, candidates []Candidate) []int {
	if len(usable) < 2 {
		return usable
	}
	load := func(i int) float64 { return candidates[i].Running / float64(max(candidates[i].Slots, 1)) }
	others, reserved := usable[:len(usable)-1], usable[len(usable)-1]
	if rank < 1-reservedShare/float64(len(usable)) {
		if load(reserved) > reservedLoad {
			return others
		}
		return usable
	}
	return append(slices.DeleteFunc(slices.Clone(others), func(i int) bool { return load(i) >= otherLoad }), reserved)
}
