package balance

import "time"

// Tracker estimates the requests at an upstream from its reports, from what
// this entry sent since and from what other entries say that they have there.
// It is not safe for concurrent use.
type Tracker struct {
	// InFlight is the number of requests that this entry has there.
	InFlight int
	// reported is the number of all requests at the time of the last report.
	reported float64
	at       time.Time
	// sent counts this entry's requests since then.
	sent int
	// others is the number of requests of the other entries.
	others   float64
	sharedAt time.Time
}

const (
	// reportLife is the age at which a report says nothing any more: most
	// requests that ran then have ended.
	reportLife = time.Second
	// sharedLife is the same for what other entries told.
	sharedLife = time.Second
	// sharedAge is the mean age of what other entries told when it arrives. They
	// tell it every 200 ms and it is passed on every 200 ms.
	sharedAge = 200 * time.Millisecond
)

// Send counts a request that is sent.
func (t *Tracker) Send() {
	t.InFlight++
	t.sent++
}

// End counts a request that has ended.
func (t *Tracker) End() { t.InFlight-- }

// Report takes in the number of requests that the upstream told.
func (t *Tracker) Report(now time.Time, requests float64) {
	t.reported, t.at = requests, now
	t.sent = 0
}

// Share takes in how many requests the other entries have in flight.
func (t *Tracker) Share(now time.Time, others float64) { t.others, t.sharedAt = others, now }

// Estimate is what a tracker knows of an upstream.
type Estimate struct {
	// Running is the number of requests there, waiting ones included.
	Running float64
	// Uncertain is the flow of requests since Running was measured.
	Uncertain float64
}

// Estimate estimates the requests at the upstream by the newest that is known.
// Occupancy is the time for which a request runs.
func (t *Tracker) Estimate(now time.Time, entries, slots int, occupancy time.Duration) Estimate {
	own := float64(t.InFlight)
	age, shared := now.Sub(t.at), now.Sub(t.sharedAt)
	// flow is the number of requests that begin and end in a time beside others.
	flow := func(age time.Duration, requests float64) float64 {
		if occupancy <= 0 {
			return 0
		}
		return min(age.Seconds()/occupancy.Seconds(), 1) * min(requests, float64(slots))
	}
	switch {
	case age < reportLife && (age <= shared+sharedAge || shared >= sharedLife):
		// Other entries see the same reports and are taken to send as many as this
		// one, so that its own sends stand for theirs.
		ended := flow(age, t.reported)
		return Estimate{max(own, t.reported+float64(t.sent*max(entries, 1))-ended), ended}
	case shared < sharedLife:
		all := own + t.others
		return Estimate{all, flow(shared+sharedAge, all)}
	}
	// Other entries are taken to have as many as this one.
	return Estimate{Running: own * float64(max(entries, 1))}
}
