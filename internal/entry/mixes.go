package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/balance"
	"github.com/bluebellfield/bluebellfield/catalog"
)

// mixes holds the mix of the requests for each model.
type mixes struct {
	mu     sync.Mutex
	models map[demandKey]*balance.Mix
}

// add records a request for a model of the service. It returns the rank of its answer
// if a group is reserved for long ones.
func (m *mixes) add(random *rand.Rand, service *catalog.Service, model string, r *Request, limit time.Duration) (ranked bool, rank float64) {
	engine := service.Engine
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.models == nil {
		m.models = map[demandKey]*balance.Mix{}
	}
	key := demandKey{service.Name, model}
	mix := m.models[key]
	if mix == nil {
		mix = &balance.Mix{}
		m.models[key] = mix
	}
	// Callers' estimates are far off at times, also beyond the maximum.
	tokens := r.expectedAnswerTokens()
	if r.AnswerTokens > 0 {
		tokens = min(tokens, r.AnswerTokens)
	}
	rank = mix.Rank(random, tokens)
	mix.Observe(engine, engine.Model(model), r.PromptTokens, tokens)
	return mix.NeedsReservedGroup(engine, engine.Model(model), limit), rank
}
