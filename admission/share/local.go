package share

import (
	"time"

	"github.com/bluebellfield/bluebellfield/admission"
)

// LimitsOf returns the limits of an account at a service, or over all services
// if service is empty. Negative values mean unlimited and are left out.
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

// LocalLimits converts an account's limits over all entries into the current
// limits at this entry.
func (n *Node) LocalLimits(now time.Time, account, service string, l admission.Limits) admission.Limits {
	local := func(kind Kind, value float64) float64 {
		if value < 0 {
			return -1
		}
		return n.LocalAllowance(now, ID(kind, account, service)).Value
	}
	return admission.Limits{
		RequestsPerSecond: local(Rate, l.RequestsPerSecond),
		Concurrent:        int(local(Concurrent, float64(l.Concurrent))),
		TokensPerMinute:   local(Tokens, l.TokensPerMinute),
	}
}

// minDemand is the demand below which a rate counts as zero, because decaying
// averages never reach zero.
const minDemand = 1e-3

// SetAccountDemand sets the demand for the limits of an account from the load
// that callers offer at this entry.
func (n *Node) SetAccountDemand(now time.Time, account, service string, o admission.Offered) {
	set := func(kind Kind, demand, used float64) {
		if demand < minDemand {
			demand = 0
		}
		n.SetDemand(now, ID(kind, account, service), Demand{Paying: demand, Used: used})
	}
	set(Rate, o.RequestsPerSecond, 0)
	set(Tokens, o.TokensPerMinute, 0)
	set(Concurrent, float64(o.Queued+o.Running), float64(o.Running))
}
