package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/sse"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// relayStream passes events on as they arrive. Only whole events are passed
// on, so that another upstream can continue after the last one.
func (x *exchange) relayStream(ctx context.Context, s *send, resp *http.Response) sendResult {
	t := s.target
	flusher := http.NewResponseController(x.w)
	events := sse.NewBlockReader(resp.Body, maxEventBytes)
	for {
		block, position, err := events.Read()
		if errors.Is(err, io.EOF) {
			return x.endStream(t, resp)
		}
		if err != nil {
			return x.streamBroken(ctx, s, err)
		}
		now := time.Now()
		t.alive(now)
		s.watchdog.progress(now)
		if s.record.events == 0 {
			x.firstEvent(s, now)
		}
		if s.record.events > 0 {
			t.event(now, now.Sub(x.lastEvent))
		}
		x.noteGap(now)
		if position >= 0 && position <= x.position {
			// The caller has it from an earlier send.
			continue
		}
		if !x.begun {
			x.writeHeader(resp.StatusCode, resp.Header, -1)
		}
		s.record.events++
		if _, err := x.w.Write(block); err != nil {
			return x.callerLeft(err)
		}
		if position >= 0 {
			x.position = position
		}
		if events.Buffered() {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return x.callerLeft(err)
		}
	}
}

// noteGap takes in the pause before an event of the caller's stream.
func (x *exchange) noteGap(now time.Time) {
	if !x.lastEvent.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEvent))
	}
	x.lastEvent = now
}

// firstEvent takes in that a request has begun to run.
func (x *exchange) firstEvent(s *send, now time.Time) {
	s.load.begun()
	if s.wait == 0 {
		x.e.usual.add(x.service.Name, x.request.Model, now.Sub(s.started))
	}
}

func (x *exchange) callerLeft(err error) sendResult {
	x.outcome, x.reason = outcomeAbandoned, err.Error()
	panic(http.ErrAbortHandler)
}

func (x *exchange) endStream(t *target, resp *http.Response) sendResult {
	t.succeeded()
	if !x.begun {
		x.writeHeader(resp.StatusCode, resp.Header, -1)
	}
	x.outcome = outcomeServed
	return sendResult{done: true}
}

func (x *exchange) streamBroken(ctx context.Context, s *send, err error) sendResult {
	if errors.Is(context.Cause(ctx), errMoved) {
		x.e.stats.moved.Inc(1)
		return sendResult{ran: true, prepaid: true, reason: s.watchdog.reason}
	}
	if ctx.Err() != nil {
		return sendResult{ran: true, reason: context.Cause(ctx).Error()}
	}
	s.target.unreachable(time.Now())
	return sendResult{ran: true, reason: fmt.Sprintf("stream broke after event %d: %v", x.position, err)}
}

const (
	// stallTime is the time without a sign of life of a group after which it
	// counts as standing still: several passes of an engine at a fifth of its
	// pace, and less than half of the two seconds after which callers leave.
	stallTime = 800 * time.Millisecond
	// earlySuspicion is the time without a sign of life of a group after which
	// the control instances are told, so that they look for a lost member: twice
	// the pause that callers still count as timely.
	earlySuspicion = 400 * time.Millisecond
	// silentStream is the time without an event after which a single stream is
	// moved while its group goes on with others.
	silentStream = 1500 * time.Millisecond
	// waitFactor multiplies the expected wait of a stream that queues, which is
	// an estimate from lagging reports.
	waitFactor = 2
	// recheck is the pause between two looks at a stream that waits while its
	// group goes on.
	recheck = 100 * time.Millisecond
)

// watchdog gives up a send whose upstream stands still, where the stream can
// continue elsewhere.
type watchdog struct {
	x       *exchange
	t       *target
	cancel  context.CancelCauseFunc
	started time.Time
	// patience is how long the stream may be silent while its group goes on.
	patience time.Duration

	mu     sync.Mutex
	last   time.Time
	timer  *time.Timer
	ended  bool
	reason string
}

func (x *exchange) watch(s *send) *watchdog {
	w := &watchdog{x: x, t: s.target, cancel: s.cancel, started: s.started, last: s.started,
		patience: silentStream + waitFactor*s.wait}
	w.timer = time.AfterFunc(earlySuspicion, w.check)
	return w
}

// progress takes in an event. A nil watchdog, of a service without engines,
// watches nothing.
func (w *watchdog) progress(now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = now
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := time.Now()
	silent := now.Sub(w.last)
	if silent < earlySuspicion {
		w.timer.Reset(earlySuspicion - silent)
		return
	}
	groupSilent := w.t.silentFor(now, w.started)
	if groupSilent >= earlySuspicion && w.t.suspect(now) {
		w.x.e.reportStall(w.t)
	}
	standstill := groupSilent >= stallTime
	if standstill {
		w.t.avoid(now)
	}
	if (standstill || silent >= w.patience) && w.x.mayMove(now) {
		w.reason = fmt.Sprintf("no event for %d ms", silent.Milliseconds())
		w.cancel(errMoved)
		return
	}
	w.timer.Reset(recheck)
}

// mayMove reports whether a send that is under way may be given up for
// another, and takes that from the budget.
func (x *exchange) mayMove(now time.Time) bool {
	if !x.route.MayRepeat() || x.runs+1 >= x.route.MaxAttempts || x.deadline.Sub(now) < leastRemaining {
		return false
	}
	if t, _ := x.choose(now); t == nil {
		// Nothing else would admit it; it is better off where it waits.
		return false
	}
	return x.e.budget(x.service.Name).take(now, &x.e.o.Budget, x.view.entries)
}
