package entry

import (
	"sync"
	"time"
)

// usualTimes keeps the usual time to the first event, or to the whole answer,
// of requests that did not wait, by service and model.
type usualTimes struct {
	mu    sync.Mutex
	times map[demandKey]time.Duration
	// patience holds how long the callers of a route are willing to wait.
	patience map[string]*majority
}

// The usual time follows shorter times faster than longer ones, so that it
// stays near the lower third: a spell of overload must not pass for usual.
const (
	shorterWeight = 0.04
	longerWeight  = 0.02
	// longest bounds one time, as a multiple of the usual one.
	longest = 2
)

func (u *usualTimes) add(service, model string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.times == nil {
		u.times = map[demandKey]time.Duration{}
	}
	key := demandKey{service, model}
	old, known := u.times[key]
	if !known {
		u.times[key] = took
		return
	}
	weight := shorterWeight
	if took > old {
		weight = longerWeight
	}
	u.times[key] = old + time.Duration(weight*float64(min(took, longest*old)-old))
}

func (u *usualTimes) get(service, model string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.times[demandKey{service, model}]
}

// elapsed estimates the time since a caller's first attempt: callers that
// return say that they wait for what is left of their time.
func (u *usualTimes) elapsed(route string, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.patience == nil {
		u.patience = map[string]*majority{}
	}
	m := u.patience[route]
	if m == nil {
		m = &majority{}
		u.patience[route] = m
	}
	m.add(patience)
	return max(m.value-patience, 0)
}

// majority finds the value that most callers of a route name: that of their
// first attempts, since what is left to those that return differs. It counts up
// for the value it holds and down for others, and takes another one at zero.
type majority struct {
	value time.Duration
	count int
}

// maxMajority bounds the count, so that a change of the value is followed.
const maxMajority = 50

func (m *majority) add(value time.Duration) {
	switch {
	case value == m.value:
		m.count = min(m.count+1, maxMajority)
	case m.count > 0:
		m.count--
	default:
		m.value, m.count = value, 1
	}
}
