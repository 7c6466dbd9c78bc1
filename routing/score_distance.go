package routing

// distance classifies the location of an upstream relative to the entry.
type distance uint8

const (
	ownDomain distance = iota
	sameRegion
	otherRegion
)

func distanceOf(cfg *Config, c *Candidate) distance {
	switch {
	case c.FailureDomain == cfg.FailureDomain:
		return ownDomain
	case c.Region == cfg.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// distanceScore costs the network delay to upstreams in another failure domain
// of the region or in another region.
type distanceScore struct{}

// Name returns "distance".
func (distanceScore) Name() string { return "distance" }

// Weight implements Score.
func (distanceScore) Weight(w *Weights) float64 { return w.Distance }

// Seconds implements Score.
func (distanceScore) Seconds(q *Query, u *Upstream) float64 {
	switch u.distance {
	case ownDomain:
		return 0
	case sameRegion:
		return q.cfg.Costs.SameRegion
	default:
		return q.cfg.Costs.OtherRegion
	}
}
