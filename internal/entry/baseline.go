package entry

import (
	"sync"
	"time"
)

// baselineLatencies holds the latency of requests that did not queue, by
// service and model: the time to the first event of a stream, or to the
// complete response otherwise.
type baselineLatencies struct {
	mu    sync.Mutex
	times map[demandKey]time.Duration
	// callerTimeouts holds the timeout that most callers of a route announce.
	callerTimeouts map[string]*majority
}

// The baseline follows shorter times faster than longer ones, so that it stays
// near the lower third of the samples and a period of overload does not raise
// it.
const (
	decreaseWeight = 0.04
	increaseWeight = 0.02
	// maxSampleRatio caps a sample, as a multiple of the baseline.
	maxSampleRatio = 2
)

// add updates the baseline with the latency of a request that did not queue.
func (b *baselineLatencies) add(service, model string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.times == nil {
		b.times = map[demandKey]time.Duration{}
	}
	key := demandKey{service, model}
	old, known := b.times[key]
	if !known {
		b.times[key] = took
		return
	}
	weight := decreaseWeight
	if took > old {
		weight = increaseWeight
	}
	b.times[key] = old + time.Duration(weight*float64(min(took, maxSampleRatio*old)-old))
}

// get returns the baseline latency, zero if there is none.
func (b *baselineLatencies) get(service, model string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.times[demandKey{service, model}]
}

// elapsed estimates the time since a caller's first attempt. On a retry,
// callers announce only the rest of their timeout, so the difference to the
// timeout that most callers announce is the time already spent.
func (b *baselineLatencies) elapsed(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.callerTimeouts == nil {
		b.callerTimeouts = map[string]*majority{}
	}
	m := b.callerTimeouts[route]
	if m == nil {
		m = &majority{}
		b.callerTimeouts[route] = m
	}
	m.add(timeout)
	return max(m.value-timeout, 0)
}

// majority finds the most frequent value by a Boyer-Moore majority vote. Most
// callers of a route announce the same timeout on their first attempt, while
// the rest of a timeout on a retry varies.
type majority struct {
	value time.Duration
	count int
}

// maxMajorityCount caps the count, so that the vote follows a change of the
// value.
const maxMajorityCount = 50

func (m *majority) add(value time.Duration) {
	switch {
	case value == m.value:
		m.count = min(m.count+1, maxMajorityCount)
	case m.count > 0:
		m.count--
	default:
		m.value, m.count = value, 1
	}
}
