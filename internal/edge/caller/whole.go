package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
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
	usage := Usage{Tokens: unknownTokens}
	defer func() { slot.Release(usage) }()
	x.Retrier.First(&x.work)
	var last error
	for {
		err := x.wholeAttempt(ctx, slot)
		if err == nil {
			if x.finished.Tokens > 0 {
				usage.Tokens = x.finished.Tokens
			}
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
	if len(head) == spoolBytes && errors.Is(context.Cause(t.ctx), errPreempted) {
		err = errPreempted
	}
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
	if int64(len(head)) > x.work.Route.MaxResponseBytes {
		return t.fail(x.tooLarge(t))
	}
	t.end(Result{OK: true})
	x.finished.Tokens = x.countTokens(head)
	x.writeAnswer(t.resp.StatusCode, t.resp.Header, head)
	return nil
}

// countTokens returns the tokens that a whole chat completion says it used, 0
// for other answers.
func (x *exchange) countTokens(body []byte) int {
	if x.work.Route.Kind != membership.ModelEngine {
		return 0
	}
	var answer struct {
		Usage struct {
			TotalTokens int `json:"total_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return 0
	}
	return max(answer.Usage.TotalTokens, 0)
}

// tooLarge returns the error of an answer beyond the service's bound.
func (x *exchange) tooLarge(t *try) error {
	at := fault.At{Step: StepRelay, Peer: t.choice.Target().ID}
	return fault.New(fault.ResponseTooLarge, at, fault.Unknown, fmt.Sprintf("the answer exceeds %d bytes", x.work.Route.MaxResponseBytes))
}

// relay passes on an answer that is larger than the spool.
func (x *exchange) relay(t *try, head []byte) error {
	x.writeHead(t.resp.StatusCode, t.resp.Header)
	out := &relayWriter{w: x.w, discards: t.choice.OutlivesCaller()}
	limit := x.work.Route.MaxResponseBytes
	n, err := io.Copy(out, io.LimitReader(io.MultiReader(bytes.NewReader(head), t.resp.Body), limit+1))
	if out.gone != nil && !out.discards {
		return t.fail(callerGone(out.gone))
	}
	if err != nil {
		return t.fail(x.truncated(t, err))
	}
	if n > limit {
		return t.fail(x.tooLarge(t))
	}
	t.end(Result{OK: true})
	return callerGone(out.gone)
}

// relayWriter passes an answer on. When the caller has gone away it fails, or
// discards the rest so that the answer is read to its end.
type relayWriter struct {
	w        io.Writer
	discards bool
	gone     error
}

// Write implements io.Writer.
func (r *relayWriter) Write(p []byte) (int, error) {
	if r.gone == nil {
		_, r.gone = r.w.Write(p)
	}
	if r.gone != nil && !r.discards {
		return 0, r.gone
	}
	return len(p), nil
}

// truncated returns the error of an answer that broke off, or that was not
// whole at the request's deadline.
func (x *exchange) truncated(t *try, err error) error {
	code := fault.UpstreamTruncated
	if errors.Is(context.Cause(t.ctx), context.DeadlineExceeded) {
		code = fault.DeadlineExceeded
	}
	return fault.Wrap(err, code, fault.At{Step: StepRelay, Peer: t.choice.Target().ID}, fault.Unknown)
}

// writeAnswer sends a whole answer.
func (x *exchange) writeAnswer(status int, header http.Header, body []byte) {
	header = header.Clone()
	if x.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
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
