package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/balance"
)

// recordPause records that an upstream refused a request and wants no others for a
// time.
func (e *Entry) recordPause(t *target, pause time.Duration, requestID string) {
	if !e.limits.Pause(t.process(), pause) {
		return
	}
	e.stats.pauses.Inc(1)
	e.opts.Logger.Info("upstream asks for a pause", zap.String("upstream", t.upstream.ID), zap.Int64("startMillis", t.upstream.StartMillis),
		zap.Duration("pause", pause), zap.String("request", requestID))
}

// retryAfter returns the Retry-After of a request that is refused: the given one, or
// the end of the shortest pause if all upstreams that could serve the request have
// asked for one.
func (x *exchange) retryAfter(usual time.Duration) time.Duration {
	if !x.e.limits.Any() {
		return usual
	}
	var shortest time.Duration
	for _, t := range x.targets() {
		if x.e.limits.Leaving(t.process()) {
			continue
		}
		pause := x.e.limits.BlockedFor(t.process())
		if pause == 0 {
			return usual
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	if shortest == 0 {
		return usual
	}
	return max(usual, balance.SpreadReturn(x.random, shortest))
}
