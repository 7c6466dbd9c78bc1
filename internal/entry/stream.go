package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/sse"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxIdleBytes limits the comments between two events. An upstream that sends
	// more is faulty.
	maxIdleBytes = 64 << 10
)

// errIdleBytes is returned for a stream that contains more than maxIdleBytes
// without an event.
var errIdleBytes = errors.New("too many bytes without an event")

// errNoEvent is returned for a stream that contains something else than events and
// comments, such as the head of another response.
var errNoEvent = errors.New("the stream contains text that is no event")

// isEventStream reports whether a response can be a stream of events. One that does
// not name its type may be.
func isEventStream(resp *http.Response) bool {
	value := resp.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(value)
	return value == "" || err == nil && mediaType == "text/event-stream"
}

// errCutOff is returned for a stream that ends with its connection although it is
// not complete.
var errCutOff = errors.New("the connection ended before the stream")

// streamCutOff reports whether a stream that has ended was cut off. Without length
// and chunks only the end of the connection shows the end of a stream, so that one
// without events is no answer unless it resumes an earlier one.
func (x *exchange) streamCutOff(a *upstreamAttempt, resp *http.Response) bool {
	if upstream.Framed(resp) {
		return false
	}
	return a.firstEvent.IsZero() && x.position.Load() < 0 && x.request.ResumePosition < 0 || x.e.hasCrashed(a.target)
}

// relayStream relays events as they arrive. Only complete events are relayed,
// so that another upstream can resume after the last one.
func (x *exchange) relayStream(ctx context.Context, a *upstreamAttempt, resp *http.Response) attemptResult {
	t := a.target
	flusher := http.NewResponseController(x.w)
	events := sse.NewRawReader(resp.Body, maxEventBytes)
	idleBytes := 0
	for {
		block, position, err := events.Read()
		if errors.Is(err, io.EOF) && x.streamCutOff(a, resp) {
			err = errCutOff
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(t, resp)
		}
		if err != nil {
			return x.handleStreamError(ctx, a, err)
		}
		if !sse.Valid(block) {
			return x.handleStreamError(ctx, a, errNoEvent)
		}
		now := time.Now()
		if !sse.HasData(block) {
			// A comment is relayed, but does not show that the request makes
			// progress.
			if idleBytes += len(block); idleBytes > maxIdleBytes {
				return x.handleStreamError(ctx, a, errIdleBytes)
			}
			if err := x.relayBlock(flusher, block, resp); err != nil {
				return x.abandonWrite(err)
			}
			continue
		}
		idleBytes = 0
		t.recordProgress(now)
		a.watchdog.progress(now)
		if a.firstEvent.IsZero() {
			x.recordFirstEvent(a, now)
		}
		if !a.progressed && now.Sub(a.firstEvent) >= quarantine.ProgressTime {
			a.progressed = true
			x.e.crashes.Progressed(a.run)
		}
		if a.record.events > 0 {
			t.recordGap(now, now.Sub(x.lastEvent))
		}
		x.recordGap(now)
		if position >= 0 && position <= x.position.Load() {
			// The caller received this event from an earlier attempt.
			continue
		}
		if !x.headerWritten {
			x.writeHeader(resp.StatusCode, resp.Header, -1)
		}
		a.record.events++
		if _, err := x.w.Write(block); err != nil {
			return x.abandonWrite(err)
		}
		if position >= 0 {
			x.position.Store(position)
		}
		if events.Buffered() {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return x.abandonWrite(err)
		}
	}
}

// relayBlock sends a block that is not an event to the caller.
func (x *exchange) relayBlock(flusher *http.ResponseController, block []byte, resp *http.Response) error {
	if !x.headerWritten {
		x.writeHeader(resp.StatusCode, resp.Header, -1)
	}
	if _, err := x.w.Write(block); err != nil {
		return err
	}
	return flusher.Flush()
}

// recordGap records the time between two events of the caller's stream.
func (x *exchange) recordGap(now time.Time) {
	if !x.lastEvent.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEvent))
	}
	x.lastEvent = now
}

// recordFirstEvent records that the upstream has started to run the request.
func (x *exchange) recordFirstEvent(a *upstreamAttempt, now time.Time) {
	a.firstEvent = now
	a.load.started()
	if a.expectedWait == 0 {
		x.e.baselines.add(x.service.Name, x.knownModel(), now.Sub(a.started))
	}
}

// abandonWrite aborts the exchange after a failed write to the caller.
func (x *exchange) abandonWrite(err error) attemptResult {
	x.outcome, x.reason = outcomeAbandoned, err.Error()
	panic(http.ErrAbortHandler)
}

// endStream completes a stream that the upstream ended normally.
func (x *exchange) endStream(t *target, resp *http.Response) attemptResult {
	t.recordSuccess()
	if !x.headerWritten {
		x.writeHeader(resp.StatusCode, resp.Header, -1)
	}
	x.outcome = outcomeServed
	return attemptResult{done: true}
}

// handleStreamError classifies an attempt whose stream ended early.
func (x *exchange) handleStreamError(ctx context.Context, a *upstreamAttempt, err error) attemptResult {
	if errors.Is(context.Cause(ctx), errMoved) {
		x.e.stats.moved.Inc(1)
		return attemptResult{ran: true, budgetTaken: true, reason: a.watchdog.reason}
	}
	if ctx.Err() != nil {
		return attemptResult{ran: true, reason: context.Cause(ctx).Error()}
	}
	a.target.recordUnreachable(time.Now())
	return attemptResult{ran: true, broken: !errors.Is(err, errIdleBytes) && !errors.Is(err, errNoEvent), reason: fmt.Sprintf("stream broke after event %d: %v", x.position.Load(), err)}
}

const (
	// stallTimeout is the time without progress after which a group counts as
	// stalled. It allows for several steps of an engine at a fifth of its
	// normal speed and is less than half of the 2 s after which callers give
	// up.
	stallTimeout = 800 * time.Millisecond
	// suspectTimeout is the time without progress after which a group is
	// reported to the control instances, so that they probe its members. It is
	// twice the gap between events that callers still accept as timely.
	suspectTimeout = 400 * time.Millisecond
	// streamIdleTimeout is the time without an event after which a stream is
	// moved although its group still makes progress on others.
	streamIdleTimeout = 1500 * time.Millisecond
	// queueWaitFactor multiplies the expected queueing delay of a stream, which
	// is estimated from delayed load reports.
	queueWaitFactor = 2
	// recheckInterval is the time between checks of a stream that is idle but
	// not moved.
	recheckInterval = 100 * time.Millisecond
)

// watchdog cancels an attempt whose upstream makes no progress if the stream
// can be resumed elsewhere.
type watchdog struct {
	x       *exchange
	t       *target
	cancel  context.CancelCauseFunc
	started time.Time
	// idleTimeout is how long the stream may be idle while its group makes
	// progress.
	idleTimeout time.Duration

	mu        sync.Mutex
	lastEvent time.Time
	timer     *time.Timer
	stopped   bool
	reason    string
}

// startWatchdog starts the watchdog of an attempt.
func (x *exchange) startWatchdog(a *upstreamAttempt) *watchdog {
	w := &watchdog{x: x, t: a.target, cancel: a.cancel, started: a.started, lastEvent: a.started,
		idleTimeout: streamIdleTimeout + queueWaitFactor*a.expectedWait}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(suspectTimeout, w.check)
	return w
}

// progress records an event. A nil watchdog, used for services without engines,
// ignores it.
func (w *watchdog) progress(now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent = now
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check runs when the timer fires. It reports a stalled group, and either moves
// the stream or rearms the timer.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	idle := now.Sub(w.lastEvent)
	if idle < suspectTimeout {
		w.timer.Reset(suspectTimeout - idle)
		return
	}
	groupIdle := w.t.idleTime(now, w.started)
	if groupIdle >= suspectTimeout && w.t.claimStallReport(now) {
		w.x.e.reportStall(w.t)
	}
	stalled := groupIdle >= stallTimeout
	if stalled {
		w.t.backOff(now)
	}
	if (stalled || idle >= w.idleTimeout) && w.x.mayMove(now) {
		w.reason = fmt.Sprintf("no event for %d ms", idle.Milliseconds())
		w.cancel(errMoved)
		return
	}
	w.timer.Reset(recheckInterval)
}

// mayMove reports whether the current attempt may be abandoned for another one
// and, if so, takes that one from the retry budget.
func (x *exchange) mayMove(now time.Time) bool {
	if !x.route.Retryable() || x.runs+1 >= x.route.MaxAttempts || x.deadline.Sub(now) < minRemaining {
		return false
	}
	if t, _ := x.chooseTarget(now, permit{}); t == nil {
		// No other target would accept the request, so it stays in its queue.
		return false
	}
	return x.e.retryLimiter(x.service.Name).takeRetry(now, &x.e.opts.RetryBudget, x.view.entries)
}
