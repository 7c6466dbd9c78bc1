package fault

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"
)

// Guards against an error that loses its code, location, outcome or cause when
// it is wrapped, and against defaults that claim a certain outcome.
func TestDetails(t *testing.T) {
	inner := New(UpstreamUnreachable, Location{Step: "dispatch", Peer: "u1"}, NotRun, "refused")
	cases := []struct {
		name    string
		err     error
		code    Code
		at      Location
		outcome Outcome
		retry   time.Duration
	}{
		{"new", inner, UpstreamUnreachable, Location{"dispatch", "u1"}, NotRun, 0},
		{"wrapped by the standard library", fmt.Errorf("again: %w", inner), UpstreamUnreachable, Location{"dispatch", "u1"}, NotRun, 0},
		{"wrapped again", Wrap(inner, DeadlineExceeded, Location{Step: "relay"}, Unknown), DeadlineExceeded, Location{Step: "relay"}, Unknown, 0},
		{"foreign", Wrap(context.Canceled, Unavailable, Location{"relay", "caller"}, Unknown), Unavailable, Location{"relay", "caller"}, Unknown, 0},
		{"with a delay", WithRetryAfter(inner, time.Second), UpstreamUnreachable, Location{"dispatch", "u1"}, NotRun, time.Second},
		{"without details", errors.New("plain"), Internal, Location{}, Unknown, 0},
		{"no error", nil, Internal, Location{}, Unknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.code, CodeOf(c.err))
			require.Equal(t, c.at, LocationOf(c.err))
			require.Equal(t, c.outcome, OutcomeOf(c.err))
			require.Equal(t, c.retry, RetryAfterOf(c.err))
			if c.err != nil && c.name != "without details" {
				require.Equal(t, Status(c.code), merry.HTTPCode(c.err))
			}
		})
	}
	require.NoError(t, Wrap(nil, Internal, Location{}, Unknown))
	require.ErrorIs(t, Wrap(context.Canceled, Unavailable, Location{}, Unknown), context.Canceled)
	require.Equal(t, UpstreamUnreachable, CodeOf(inner), "wrapping must not change the inner error")
}

// Guards against a code without an error status.
func TestStatuses(t *testing.T) {
	for code, status := range statuses {
		require.GreaterOrEqual(t, status, http.StatusBadRequest, code)
		require.Equal(t, status, Status(code))
	}
	require.Equal(t, http.StatusInternalServerError, Status("unlisted"))
}
