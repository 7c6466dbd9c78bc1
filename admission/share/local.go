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
