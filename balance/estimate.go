package balance

import "time"

// Tracker estimates the number of requests at an upstream from the load reports
// of the upstream, the requests that this entry sent since the last report, and
// the in-flight counts of the other entries. It is not safe for concurrent use.
type Tracker struct {
	// InFlight is the number of requests from this entry.
	InFlight int
	// reportedRequests is the total number of requests in the last load report.
	reportedRequests float64
	reportedAt       time.Time
	// sentSinceReport counts the requests that this entry sent since reportedAt.
	sentSinceReport int
	// otherEntries is the number of requests in flight from other entries.
	otherEntries float64
	sharedAt     time.Time
}

const (
	// reportTTL is the age after which a load report is ignored, because most of
	// the requests that it counted have ended.
	reportTTL = time.Second
	// sharedTTL is the age after which the in-flight counts of other entries are
	// ignored.
	sharedTTL = time.Second
	// sharedDelay is the mean age of the in-flight counts on arrival. Entries send
	// them every 200 ms, and the control instances forward them every 200 ms.
	sharedDelay = 200 * time.Millisecond
)

// Send records that a request was sent.
func (t *Tracker) Send() {
	t.InFlight++
	t.sentSinceReport++
}

// End records that a request has ended.
func (t *Tracker) End() { t.InFlight-- }

// Report records the number of requests from a load report of the upstream.
func (t *Tracker) Report(now time.Time, requests float64) {
	t.reportedRequests, t.reportedAt = requests, now
	t.sentSinceReport = 0
}

// Share records the number of requests that the other entries have in flight.
func (t *Tracker) Share(now time.Time, others float64) { t.otherEntries, t.sharedAt = others, now }

// Estimate is an estimate of the requests at an upstream.
type Estimate struct {
	// Running is the number of requests, including queued ones.
	Running float64
	// EndedSinceMeasurement is the number of requests that have ended since
	// Running was measured. New requests may have replaced them.
	EndedSinceMeasurement float64
}

// Estimate returns an estimate from the most recent information. Entries is the
// number of entry instances; occupancy is the time that a request holds a slot.
func (t *Tracker) Estimate(now time.Time, entries, slots int, occupancy time.Duration) Estimate {
	own := float64(t.InFlight)
	age, sharedAge := now.Sub(t.reportedAt), now.Sub(t.sharedAt)
	// turnover returns the number of requests that end within the given time if
	// the upstream has the given number of requests.
	turnover := func(age time.Duration, requests float64) float64 {
		if occupancy <= 0 {
			return 0
		}
		return min(age.Seconds()/occupancy.Seconds(), 1) * min(requests, float64(slots))
	}
	switch {
	case age < reportTTL && (age <= sharedAge+sharedDelay || sharedAge >= sharedTTL):
		// The other entries see similar reports, so each of them is assumed to have
		// sent as many requests as this one.
		ended := turnover(age, t.reportedRequests)
		return Estimate{max(own, t.reportedRequests+float64(t.sentSinceReport*max(entries, 1))-ended), ended}
	case sharedAge < sharedTTL:
		total := own + t.otherEntries
		return Estimate{total, turnover(sharedAge+sharedDelay, total)}
	}
	// Each of the other entries is assumed to have as many requests as this one.
	return Estimate{Running: own * float64(max(entries, 1))}
}
