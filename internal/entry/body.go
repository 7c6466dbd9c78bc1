package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/bodybudget"
	"github.com/bluebellfield/bluebellfield/internal/edge/callerconn"
)

// defaultMaxBodyBytes limits request bodies while the catalog sets no limit.
const defaultMaxBodyBytes = 4 << 20

// noBodyMemoryRetryAfter is the Retry-After of a request whose body does not fit into
// the memory for bodies. Large bodies take some seconds to arrive.
const noBodyMemoryRetryAfter = time.Second

// readBody reads the body of the request into the memory for bodies. If it returns
// false, the caller has been answered.
func (x *exchange) readBody(ctx context.Context) bool {
	limit := x.view.catalog.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	connection := http.NewResponseController(x.w)
	hasBody := x.r.ContentLength != 0
	if hasBody {
		// A body that never arrives must not hold its memory for longer than its
		// caller waits. An error means that the connection is closed.
		_ = connection.SetReadDeadline(x.deadline)
	}
	body, err := x.e.opts.Bodies.Read(ctx, x.r.Body, bodybudget.Options{Declared: x.r.ContentLength, Limit: int64(limit), Account: x.accountName(),
		Interrupt: func() { _ = connection.SetReadDeadline(time.Now()) },
		Bulk:      func() { callerconn.ReceiveBulk(x.r.Context()) }, BulkBytes: callerconn.BulkBytes, BulkBuffer: callerconn.BulkBuffer})
	if err == nil {
		callerconn.BodyArrived(x.r.Context())
		if hasBody {
			_ = connection.SetReadDeadline(time.Time{})
		}
		x.body = body
		return true
	}
	// The rest of the body may still be under way on the connection.
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, bodybudget.ErrTooLarge):
		return x.reject(http.StatusRequestEntityTooLarge, "body over the limit")
	case errors.Is(err, bodybudget.ErrFull):
		return x.refuse(http.StatusServiceUnavailable, noBodyMemoryRetryAfter, err.Error())
	case x.e.stop.Refusing() && ctx.Err() != nil && x.r.Context().Err() == nil:
		return x.refuse(http.StatusServiceUnavailable, stoppingRetryAfter, "the instance is stopping")
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return x.refuse(http.StatusRequestTimeout, 0, "the body did not arrive in time")
	}
	x.outcome, x.reason = outcomeAbandoned, fmt.Sprintf("body not read: %v", err)
	panic(http.ErrAbortHandler)
}

// accountName returns the name of the client account, or an empty string.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}
