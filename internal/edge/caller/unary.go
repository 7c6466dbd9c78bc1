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

// responseBufferBytes is how much of a response is buffered before any of it is
// sent. A shorter response that is cut off can be requested again. A chat answer
// of 8,192 tokens fits.
const responseBufferBytes = 256 << 10

// serveUnary serves an idempotent request whose response is not streamed.
func (x *exchange) serveUnary(ctx context.Context) error {
	slot, err := x.admit(ctx)
	if err != nil {
		return err
	}
	usage := Usage{Tokens: unknownTokens}
	defer func() { slot.Release(usage) }()
	x.Retrier.RecordFirstAttempt(&x.info)
	var lastErr error
	for {
		err := x.attemptUnary(ctx, slot)
		if err == nil {
			if x.finished.Tokens > 0 {
				usage.Tokens = x.finished.Tokens
			}
			return nil
		}
		lastErr = mergeOutcome(lastErr, err)
		if errors.Is(err, errPreempted) {
			if err := x.yield(ctx, slot, lastErr); err != nil {
				return err
			}
			continue
		}
		if x.wroteHeader || ctx.Err() != nil {
			return lastErr
		}
		if err := x.retry(ctx, lastErr); err != nil {
			return err
		}
	}
}

// attemptUnary makes one attempt. It can be preempted as long as nothing has
// been sent to the caller.
func (x *exchange) attemptUnary(ctx context.Context, slot Slot) error {
	a, err := x.send(ctx, nil, false, slot.Preempted())
	if err != nil {
		return err
	}
	prefix, err := io.ReadAll(io.LimitReader(a.resp.Body, responseBufferBytes))
	a.disablePreemption()
	if len(prefix) == responseBufferBytes && errors.Is(context.Cause(a.ctx), errPreempted) {
		err = errPreempted
	}
	if err == nil && len(prefix) == responseBufferBytes {
		return x.relayLarge(a, prefix)
	}
	if err == nil {
		err = a.checkEnd()
	}
	if err != nil {
		err = x.truncatedError(a, err)
		if preemption := a.preemptionError(err); preemption != nil {
			return a.fail(preemption)
		}
		return a.fail(err)
	}
	if int64(len(prefix)) > x.info.Route.MaxResponseBytes {
		return a.fail(x.tooLargeError(a))
	}
	a.finish(Result{OK: true})
	x.finished.Tokens = x.countTokens(prefix)
	x.writeResponse(a.resp.StatusCode, a.resp.Header, prefix)
	return nil
}

// countTokens returns the token usage that a chat completion reports, 0 for
// other responses.
func (x *exchange) countTokens(body []byte) int {
	if x.info.Route.Kind != membership.ModelEngine {
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

// tooLargeError returns the error for a response over the service's size limit.
func (x *exchange) tooLargeError(a *attempt) error {
	at := fault.Location{Step: StepRelay, Peer: a.choice.Target().ID}
	return fault.New(fault.ResponseTooLarge, at, fault.Unknown, fmt.Sprintf("the response exceeds %d bytes", x.info.Route.MaxResponseBytes))
}

// relayLarge relays a response that does not fit in the buffer.
func (x *exchange) relayLarge(a *attempt, prefix []byte) error {
	x.writeHeader(a.resp.StatusCode, a.resp.Header)
	out := &relayWriter{w: x.w, discardOnError: a.choice.OutlivesCaller()}
	limit := x.info.Route.MaxResponseBytes
	n, err := io.Copy(out, io.LimitReader(io.MultiReader(bytes.NewReader(prefix), a.resp.Body), limit+1))
	if out.writeErr != nil && !out.discardOnError {
		return a.fail(callerDisconnected(out.writeErr))
	}
	if err == nil && n <= limit {
		err = a.checkEnd()
	}
	if err != nil {
		return a.fail(x.truncatedError(a, err))
	}
	if n > limit {
		return a.fail(x.tooLargeError(a))
	}
	a.finish(Result{OK: true})
	return callerDisconnected(out.writeErr)
}

// relayWriter writes a response to the caller. After a failed write it returns
// the error, or with discardOnError discards the rest so that the response is
// read to its end.
type relayWriter struct {
	w              io.Writer
	discardOnError bool
	writeErr       error
}

// Write implements io.Writer.
func (r *relayWriter) Write(p []byte) (int, error) {
	if r.writeErr == nil {
		_, r.writeErr = r.w.Write(p)
	}
	if r.writeErr != nil && !r.discardOnError {
		return 0, r.writeErr
	}
	return len(p), nil
}

// truncatedError returns the error for a response that was cut off, or that was
// incomplete at the request's deadline.
func (x *exchange) truncatedError(a *attempt, err error) error {
	code := fault.UpstreamTruncated
	if errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) {
		code = fault.DeadlineExceeded
	}
	return fault.Wrap(err, code, fault.Location{Step: StepRelay, Peer: a.choice.Target().ID}, fault.Unknown)
}

// writeResponse sends a complete response.
func (x *exchange) writeResponse(status int, header http.Header, body []byte) {
	header = header.Clone()
	if x.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writeHeader(status, header)
	// The error is ignored: a caller that has disconnected needs no response.
	_, _ = x.w.Write(body)
}

// writeHeader sends the status and headers of the response to a request that ran.
func (x *exchange) writeHeader(status int, header http.Header) {
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", upstream.HeaderAttempt, upstream.HeaderResumeToken} {
		h.Del(name)
	}
	h.Set(HeaderRequestID, x.info.RequestID)
	h.Set(HeaderOutcome, string(fault.Ran))
	x.finished.Status = status
	x.finished.FirstByte = time.Since(x.started)
	x.wroteHeader = true
	x.w.WriteHeader(status)
}
