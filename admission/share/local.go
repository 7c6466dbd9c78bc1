package share

import (
	"time"

	"github.com/bluebellfield/bluebellfield/admission"
)

// LimitsOf returns the limits that an account's rules contain, over all
// services when service is empty. Negative values are no limit.
func LimitsOf(account, service string, l admission.Limits) []Limit {
	var out []Limit
	add := func(kind Kind, value float64) {
		if value >= 0 {
			out = append(out, Limit{ID: ID(kind, account, service), Kind: kind, Value: value})
		}
	}
	add(Rate, l.RequestsPerSecond)
	add(Concurrent, float64(l.Concurrent))
	add(Tokens, l.TokensPerMinute)
	return out
}

// LocalLimits converts an account's limits over all entries into the limits of
// this entry now.
func (n *Node) LocalLimits(now time.Time, account, service string, l admission.Limits) admission.Limits {
	local := func(kind Kind, value float64) float64 {
		if value < 0 {
			return -1
		}
		return n.Local(now, ID(kind, account, service)).Value
	}
	return admission.Limits{
		RequestsPerSecond: local(Rate, l.RequestsPerSecond),
		Concurrent:        int(local(Concurrent, float64(l.Concurrent))),
		TokensPerMinute:   local(Tokens, l.TokensPerMinute),
	}
}

// leastDemand is what counts as no demand: meters decay without reaching zero.
const leastDemand = 1e-3

// SetAccountDemand reports what callers ask of an account's limits at this
// entry.
func (n *Node) SetAccountDemand(now time.Time, account, service string, o admission.Offered) {
	set := func(kind Kind, demand, used float64) {
		if demand < leastDemand {
			demand = 0
		}
		n.SetDemand(now, ID(kind, account, service), Demand{Paying: demand, Used: used})
	}
	set(Rate, o.RequestsPerSecond, 0)
	set(Tokens, o.TokensPerMinute, 0)
	set(Concurrent, float64(o.Queued+o.Running), float64(o.Running))
}
