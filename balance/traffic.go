package balance

import (
	"slices"
	"time"
)

// Traffic keeps the sizes of the latest requests for one model. The zero value is
// ready to use. It is not safe for concurrent use.
type Traffic struct {
	sizes [trafficSamples]requestSize
	// next is the position of the next sample, and count the number of samples.
	next, count int
}

// requestSize is the size of one request and the time in which its answer must be
// generated.
type requestSize struct {
	prompt, answer int
	limit          time.Duration
}

// TrafficSummary describes the requests for one model. It is zero while there are
// too few of them.
type TrafficSummary struct {
	// MeanPromptTokens and MeanAnswerTokens are means over the requests.
	MeanPromptTokens, MeanAnswerTokens int
	// MaxTokenTime is the time for each answer token at which long answers just
	// end within their limits.
	MaxTokenTime time.Duration
}

const (
	// trafficSamples is the number of requests that a summary covers. With fewer
	// of them a single request would decide about MaxTokenTime.
	trafficSamples = 64
	// minTrafficSamples is the number of requests from which there is a summary.
	minTrafficSamples = 16
	// longAnswerQuantile is the fraction of the requests whose answers have to end
	// in time at a full group. The estimates of the longest answers are often far
	// too high.
	longAnswerQuantile = 0.95
	// limitMargin is the part of its limit that an answer may take. The rest covers
	// the queue of the engine and the time by which groups are slower than the
	// model of the engine.
	limitMargin = 0.9
)

// Observe records a request whose answer must be generated within the limit.
func (t *Traffic) Observe(prompt, answer int, limit time.Duration) {
	t.sizes[t.next] = requestSize{prompt, answer, limit}
	t.next = (t.next + 1) % trafficSamples
	t.count = min(t.count+1, trafficSamples)
}

// Summary returns the summary of the latest requests.
func (t *Traffic) Summary() TrafficSummary {
	if t.count < minTrafficSamples {
		return TrafficSummary{}
	}
	var s TrafficSummary
	times := make([]time.Duration, t.count)
	for i, r := range t.sizes[:t.count] {
		s.MeanPromptTokens += r.prompt
		s.MeanAnswerTokens += r.answer
		times[i] = r.limit / time.Duration(max(r.answer, 1))
	}
	s.MeanPromptTokens /= t.count
	s.MeanAnswerTokens /= t.count
	slices.Sort(times)
	longest := times[int((1-longAnswerQuantile)*float64(t.count))]
	s.MaxTokenTime = time.Duration(limitMargin * float64(longest))
	return s
}
