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
	// patience is the longest time that callers of a route were willing to wait.
	patience map[string]time.Duration
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
		u.patience = map[string]time.Duration{}
	}
	full := max(u.patience[route], patience)
	u.patience[route] = full
	return full - patience
}
