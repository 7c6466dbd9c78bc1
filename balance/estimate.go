package balance

import "time"

// Tracker estimates the requests at an upstream from its reports and from what
// this entry sent since. It is not safe for concurrent use.
type Tracker struct {
	// InFlight is the number of requests that this entry has there.
	InFlight int
	// reported is the number of all requests at the time of the last report.
	reported float64
	at       time.Time
	// sent and ended count this entry's requests since then.
	sent, ended int
}

// reportLife is the age at which a report says nothing any more: most requests
// that ran then have ended.
const reportLife = time.Second

// Send counts a request that is sent.
func (t *Tracker) Send() {
	t.InFlight++
	t.sent++
}

// End counts a request that has ended.
func (t *Tracker) End() {
	t.InFlight--
	t.ended++
}

// Report takes in the number of requests that the upstream told.
func (t *Tracker) Report(now time.Time, requests float64) {
	t.reported, t.at = requests, now
	t.sent, t.ended = 0, 0
}

// Running estimates the requests at the upstream. Other entries see the same
// reports and are taken to send as many as this one, so that its own sends
// stand for theirs; occupancy is the time for which a request runs, by which
// those that were reported have ended in part.
func (t *Tracker) Running(now time.Time, entries, slots int, occupancy time.Duration) float64 {
	entries = max(entries, 1)
	own := float64(t.InFlight)
	age := now.Sub(t.at)
	if t.at.IsZero() || age >= reportLife {
		return own * float64(entries)
	}
	ended := float64(t.ended)
	if occupancy > 0 {
		ended = age.Seconds() * min(t.reported, float64(slots)) / occupancy.Seconds()
	}
	return max(own, t.reported+float64(t.sent*entries)-ended)
}
