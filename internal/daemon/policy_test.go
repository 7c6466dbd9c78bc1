package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/retry"
	"github.com/bluebellfield/bluebellfield/settings"
)

// newTestPolicy returns a policy whose services have the given numbers of
// batch slots.
func newTestPolicy(tree *settings.Tree, slots map[string]int) policy {
	return policy{func() *settings.Tree { return tree }, func(service string) int { return slots[service] }}
}

// Guards against admitting a caller without a known key, or treating it as
// paying, contrary to the settings.
func TestPolicyAccount(t *testing.T) {
	allow := func(key string) settings.Op { return setting("/", key, settings.Text(settings.CallerFree)) }
	anonymous := caller.Account{ID: settings.AnonymousAccount, Class: caller.Free}
	cases := []struct {
		name, key string
		ops       []settings.Op
		want      caller.Account
	}{
		{"paying", "rug-key", nil, caller.Account{ID: "rug", Class: caller.Paying}},
		{"free", "visitor-key", nil, caller.Account{ID: "visitor", Class: caller.Free}},
		{"no key", "", nil, caller.Account{}},
		{"unknown key", "x", nil, caller.Account{}},
		{"no key, allowed", "", []settings.Op{allow(settings.KeyAnonymous)}, anonymous},
		{"unknown key, anonymous allowed", "x", []settings.Op{allow(settings.KeyAnonymous)}, caller.Account{}},
		{"unknown key, allowed", "x", []settings.Op{allow(settings.KeyUnknownKey)}, anonymous},
		{"no key, unknown keys allowed", "", []settings.Op{allow(settings.KeyUnknownKey)}, caller.Account{}},
		{"digest of the empty key", "", []settings.Op{setting("/accounts/empty", settings.KeyKeyHashes, keyHash(""))}, caller.Account{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := newTestPolicy(testTree(t, c.ops...), nil).Account(c.key)
			require.Equal(t, c.want, got)
			if c.want.ID == "" {
				require.Equal(t, fault.Unauthorized, fault.CodeOf(err))
				require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
			}
		})
	}
}

// Guards against a request that reaches the wrong service, or that may run
// more often than its route permits.
func TestPolicyRoute(t *testing.T) {
	both := map[string]int{"rug-model": 1, "small-model": 1, "wash": 1}
	cases := []struct {
		name, method, path, model string
		slots                     map[string]int
		service                   string
		kind                      membership.Kind
		idempotent                bool
	}{
		{"by model", "POST", settings.ChatPath, "rug/7b", both, "rug-model", membership.ModelEngine, true},
		{"by the service's name", "POST", settings.ChatPath, "small-model", both, "small-model", membership.ModelEngine, true},
		{"unknown model", "POST", settings.ChatPath, "none", both, "", "", false},
		{"no model", "POST", settings.ChatPath, "", both, "", "", false},
		{"fallback", "POST", settings.ChatPath, "rug/7b", map[string]int{"small-model": 1}, "small-model", membership.ModelEngine, true},
		{"no upstream at all", "POST", settings.ChatPath, "rug/7b", nil, "rug-model", membership.ModelEngine, true},
		{"lookup", "GET", "/wash/1", "", both, "wash", membership.PlainService, true},
		{"order", "POST", "/orders", "", both, "wash", membership.PlainService, false},
		{"order by another method", "GET", "/orders", "", both, "", "", false},
		{"unknown path", "GET", "/none", "", both, "", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := newTestPolicy(testTree(t), c.slots).Route(caller.Account{ID: "rug"}, c.method, c.path, c.model)
			require.Equal(t, c.service, got.Service)
			if c.service == "" {
				require.Equal(t, fault.NotFound, fault.CodeOf(err))
				require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.kind, got.Kind)
			require.Equal(t, c.idempotent, got.Idempotent)
			require.Positive(t, got.Timeout)
			require.Positive(t, got.MaxResponseBytes)
			require.Equal(t, c.kind == membership.PlainService, len(got.NotStarted) == 1, "a plain route must carry the replay contract of its service")
		})
	}
}

// Guards against retrying requests that may have run, against retries beyond
// the budget or the deadline, and against a changed budget that has no
// effect.
func TestRetrier(t *testing.T) {
	tree := testTree(t)
	r := newRetrier(1, func() *settings.Tree { return tree })
	requestInfo := func(idempotent bool, left time.Duration) *caller.RequestInfo {
		return &caller.RequestInfo{
			Account: caller.Account{ID: "rug"}, Deadline: time.Now().Add(left),
			Route: caller.Route{Service: "wash", Idempotent: idempotent},
		}
	}
	for range 1000 {
		r.RecordFirstAttempt(requestInfo(true, time.Hour))
	}
	cases := []struct {
		name       string
		idempotent bool
		left       time.Duration
		outcome    fault.Outcome
		want       bool
	}{
		{"idempotent, unknown", true, time.Hour, fault.Unknown, true},
		{"idempotent, not run", true, time.Hour, fault.NotRun, true},
		{"non-idempotent, not run", false, time.Hour, fault.NotRun, true},
		{"non-idempotent, unknown", false, time.Hour, fault.Unknown, false},
		{"non-idempotent, ran", false, time.Hour, fault.Ran, false},
		{"past the deadline", true, -time.Second, fault.NotRun, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, ok := r.Next(requestInfo(c.idempotent, c.left), 1, c.outcome)
			require.Equal(t, c.want, ok)
		})
	}
	allowed := 0
	for range 1000 {
		if _, ok := r.Next(requestInfo(true, time.Hour), 1, fault.NotRun); ok {
			allowed++
		}
	}
	require.Less(t, allowed, 200, "retries must stay within the budget of 1000 first attempts")
	tree = testTree(t, setting("/", settings.KeyRetryBudgetPercent, settings.Number(0)))
	allowed = 0
	for range 1000 {
		r.RecordFirstAttempt(requestInfo(true, time.Hour))
		if _, ok := r.Next(requestInfo(true, time.Hour), 1, fault.NotRun); ok {
			allowed++
		}
	}
	require.Less(t, allowed, 1000*int(100*retry.DefaultConfig().Entry.Ratio)/100, "a budget of 0 must allow only the policy's minimum")
}

// Guards against a restarted entry rejecting keys as unknown before it has
// received any settings.
func TestAccountNeedsSettings(t *testing.T) {
	_, err := policy{tree: settings.Empty}.Account("some-key")
	require.Equal(t, fault.Unavailable, fault.CodeOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
}
