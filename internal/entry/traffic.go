package entry

import (
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/balance"
)

// trafficSizes holds the sizes of the latest requests by service and model.
type trafficSizes struct {
	mu     sync.Mutex
	models map[demandKey]*modelTraffic
}

// modelTraffic holds the sizes of the latest requests for one model. The summary
// is kept, since each attempt reads it.
type modelTraffic struct {
	sizes   balance.Traffic
	summary balance.TrafficSummary
}

// observe records a request whose answer must be generated within the limit.
// Without an estimate of its length it is not counted: an upper bound says little
// about it.
func (t *trafficSizes) observe(service string, r *Request, limit time.Duration) {
	if r.Model == "" || r.ExpectedAnswerTokens <= 0 || limit <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.models == nil {
		t.models = map[demandKey]*modelTraffic{}
	}
	key := demandKey{service, r.Model}
	m := t.models[key]
	if m == nil {
		m = &modelTraffic{}
		t.models[key] = m
	}
	m.sizes.Observe(r.PromptTokens, r.expectedAnswerTokens(), limit)
	m.summary = m.sizes.Summary()
}

// summary describes the latest requests for a model.
func (t *trafficSizes) summary(service, model string) balance.TrafficSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.models[demandKey{service, model}]; m != nil {
		return m.summary
	}
	return balance.TrafficSummary{}
}
