package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// spoolBytes is how much of an answer is held back before anything is sent, so
// that a short answer that breaks off can be asked for again. A chat answer of
// 8,192 tokens fits.
const spoolBytes = 256 << 10

// serveWhole answers an idempotent request with one response.
func (x *exchange) serveWhole(ctx context.Context) error {
	slot, err := x.admit(ctx)
	if err != nil {
		return err
	}
	defer func() { slot.Release(Usage{Tokens: x.finished.Tokens}) }()
	x.Retrier.First(&x.work)
	var last error
	for {
		err := x.wholeAttempt(ctx, slot)
		if err == nil {
			return nil
		}
		last = earlier(last, err)
		if errors.Is(err, errPreempted) {
			if err := x.yield(ctx, slot, last); err != nil {
				return err
			}
			continue
		}
		if x.wrote || ctx.Err() != nil {
			return last
		}
		if err := x.retry(ctx, last); err != nil {
			return err
		}
	}
}

// wholeAttempt makes one attempt. It gives way to paying work while nothing was
// sent to the caller.
func (x *exchange) wholeAttempt(ctx context.Context, slot Slot) error {
	t, err := x.send(ctx, nil, false, slot.Preempted())
	if err != nil {
		return err
	}
	head, err := io.ReadAll(io.LimitReader(t.resp.Body, spoolBytes))
	t.keep()
	if err == nil && len(head) == spoolBytes {
		return x.relay(t, head)
	}
	if err != nil {
		err = x.truncated(t, err)
		if preemption := t.gaveWay(err); preemption != nil {
			return t.fail(preemption)
		}
		return t.fail(err)
	}
	t.end(Result{OK: true})
	x.writeAnswer(t.resp.StatusCode, t.resp.Header, head)
	return nil
}

// relay passes on an answer that is larger than the spool.
func (x *exchange) relay(t *try, head []byte) error {
	x.writeHead(t.resp.StatusCode, t.resp.Header)
	_, err := x.w.Write(head)
	if err != nil {
		return t.fail(fault.Wrap(err, fault.Unavailable, fault.At{Step: StepRelay, Peer: "caller"}, fault.Unknown))
	}
	rest := x.work.Route.MaxResponseBytes - int64(len(head))
	n, err := io.Copy(x.w, io.LimitReader(t.resp.Body, rest+1))
	if err != nil {
		return t.fail(x.truncated(t, err))
	}
	if n > rest {
		at := fault.At{Step: StepRelay, Peer: t.choice.Target().ID}
		return t.fail(fault.New(fault.DeadlineExceeded, at, fault.Unknown, fmt.Sprintf("the answer exceeds %d bytes", x.work.Route.MaxResponseBytes)))
	}
	t.end(Result{OK: true})
	return nil
}

func (x *exchange) truncated(t *try, err error) error {
	at := fault.At{Step: StepRelay, Peer: t.choice.Target().ID}
	return fault.Wrap(err, fault.UpstreamTruncated, at, fault.Unknown)
}

// writeAnswer sends a whole answer.
func (x *exchange) writeAnswer(status int, header http.Header, body []byte) {
	header = header.Clone()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.writeHead(status, header)
	// A caller that has gone away needs no answer.
	_, _ = x.w.Write(body)
}

// writeHead sends the status and headers of an answer that ran.
func (x *exchange) writeHead(status int, header http.Header) {
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", upstream.HeaderAttempt, upstream.HeaderResumeToken} {
		h.Del(name)
	}
	h.Set(HeaderRequestID, x.work.RequestID)
	h.Set(HeaderOutcome, string(fault.Ran))
	x.finished.Status = status
	x.finished.FirstByte = time.Since(x.started)
	x.wrote = true
	x.w.WriteHeader(status)
}
