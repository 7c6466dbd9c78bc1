package membership

import "time"

// clockOffset is a lower bound of the local clock minus a peer's clock, in
// nanoseconds. The smallest observed difference between the sending and the
// arrival of a message is no such bound: it includes the delay, so a path on
// which every message is slow would make old reports look recent. A message that
// echoes the local clock was sent after the echoed time, whatever the delays.
// The bound derived from it can only make reports look older.
type clockOffset struct {
	known      bool
	lowerBound float64
	boundAt    float64 // local time at which lowerBound holds
}

// update adds the information of one message: the peer's clock at sending, the
// local clock that it echoes, and the time for which the peer held the echo, all
// in milliseconds.
func (o *clockOffset) update(clock, echo, hold int64, drift float64) {
	const ms = float64(time.Millisecond)
	sent := (float64(echo) + float64(hold)*(1-drift)) * ms
	// Clock values are truncated to milliseconds, so the actual time may be up to
	// 1 ms later.
	bound := sent - float64(clock+1)*ms
	if !o.known || bound > o.lowerBoundAt(sent, drift) {
		o.known, o.lowerBound, o.boundAt = true, bound, sent
	}
}

// lowerBoundAt returns the bound at another local time, reduced by the maximum
// drift.
func (o *clockOffset) lowerBoundAt(t, drift float64) float64 {
	elapsed := t - o.boundAt
	if elapsed < 0 {
		elapsed = -elapsed
	}
	return o.lowerBound - elapsed*drift
}

// toLocal returns the earliest local time to which a time of the peer's clock,
// in milliseconds, can correspond.
func (o *clockOffset) toLocal(clock int64, now int64, drift float64) int64 {
	if !o.known {
		return never
	}
	ns := float64(clock) * float64(time.Millisecond)
	bound := min(o.lowerBoundAt(float64(now), drift), o.lowerBoundAt(ns+o.lowerBound, drift))
	return int64(ns + bound)
}
