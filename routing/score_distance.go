package routing

// distance orders upstreams by where they are, seen from the entry.
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

// distanceScore charges the delay of upstreams in other failure domains of the
// region and of those in other regions.
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
