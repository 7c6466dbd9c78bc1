package membership

import "time"

// offset bounds the difference between the local clock and a peer's clock from
// below, in nanoseconds. The smallest difference seen between a message's
// sending and arrival cannot do this: it contains the delay, so a path that
// is slow for every message would make old information look new. A message
// that echoes the local clock was sent after the echoed time, whatever the
// delays, and that gives a bound which is wrong in the safe direction only.
type offset struct {
	known bool
	low   float64
	at    float64 // local time for which low holds
}

// learn takes a message: the peer's clock at sending, the local clock that it
// echoes, and how long the peer held the echo, all in milliseconds.
func (o *offset) learn(clock, echo, hold int64, drift float64) {
	const ms = float64(time.Millisecond)
	sent := (float64(echo) + float64(hold)*(1-drift)) * ms
	// Clocks are cut to milliseconds, so the true clock may be 1 ms later.
	low := sent - float64(clock+1)*ms
	if !o.known || low > o.lowAt(sent, drift) {
		o.known, o.low, o.at = true, low, sent
	}
}

// lowAt returns the bound for another local time, widened by drift.
func (o *offset) lowAt(t, drift float64) float64 {
	d := t - o.at
	if d < 0 {
		d = -d
	}
	return o.low - d*drift
}

// local returns the earliest local time that a moment of the peer's clock, in
// milliseconds, can have been.
func (o *offset) local(clock int64, now int64, drift float64) int64 {
	if !o.known {
		return never
	}
	ns := float64(clock) * float64(time.Millisecond)
	low := min(o.lowAt(float64(now), drift), o.lowAt(ns+o.low, drift))
	return int64(ns + low)
}
