package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// A non-idempotent request that may have run must not be retried, nor any
// request past its deadline or its maximum number of attempts.
func TestDecide(t *testing.T) {
	deadline := start.Add(10 * time.Second)
	cases := []struct {
		name   string
		a      Attempt
		reason Reason
	}{
		{"idempotent, unknown", Attempt{Idempotent: true, Outcome: Unknown, Number: 1, Deadline: deadline}, ReasonNone},
		{"not idempotent, not run", Attempt{Outcome: NotRun, Number: 1, Deadline: deadline}, ReasonNone},
		{"not idempotent, unknown", Attempt{Outcome: Unknown, Number: 1, Deadline: deadline}, ReasonNotIdempotent},
		{"not idempotent, no outcome", Attempt{Number: 1, Deadline: deadline}, ReasonNotIdempotent},
		{"ran", Attempt{Idempotent: true, Outcome: Ran, Number: 1, Deadline: deadline}, ReasonRan},
		{"last attempt", Attempt{Idempotent: true, Outcome: NotRun, Number: 4, Deadline: deadline}, ReasonAttempts},
		{"deadline passed", Attempt{Idempotent: true, Outcome: NotRun, Number: 1, Deadline: start}, ReasonDeadline},
		{"too little time", Attempt{Idempotent: true, Outcome: NotRun, Number: 1, Deadline: deadline, MinAnswerTime: 10 * time.Second}, ReasonDeadline},
		{"asked to wait too long", Attempt{Idempotent: true, Outcome: NotRun, Number: 1, Deadline: deadline, RetryAfter: 11 * time.Second}, ReasonDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := New(Config{}, start)
			before := p.Tokens(start)
			d := p.Decide(start, rand.NewPCG(1, 1), c.a)
			require.Equal(t, c.reason, d.Reason)
			require.Equal(t, c.reason == ReasonNone, d.Retry)
			if !d.Retry {
				require.Equal(t, before, p.Tokens(start), "a denied retry consumes no token")
			}
		})
	}
}

// Guards against synchronized retries (missing jitter) and delays beyond the
// bound.
func TestBackoff(t *testing.T) {
	random := rand.NewPCG(1, 1)
	for number, bound := range map[int]time.Duration{1: 25 * time.Millisecond, 3: 100 * time.Millisecond, 30: time.Second} {
		p := New(Config{MaxAttempts: 100, Entry: Budget{Burst: 1e6}, Account: Budget{Burst: 1e6}}, start)
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			d := p.Decide(start, random, Attempt{Outcome: NotRun, Number: number, Deadline: start.Add(time.Hour)})
			low, high = min(low, d.After), max(high, d.After)
		}
		require.Less(t, low, bound/10)
		require.Greater(t, high, bound*9/10)
		require.LessOrEqual(t, high, bound)
	}
}

// Guards against hedging a non-idempotent request, a request whose answer has
// started, or a service with too few latencies.
func TestHedge(t *testing.T) {
	p := New(Config{}, start)
	p.SetServices([]string{"s"})
	_, ok := p.HedgeDelay("s")
	require.False(t, ok)
	for i := range 200 {
		p.ObserveLatency("s", time.Duration(i+1)*time.Millisecond)
		p.ObserveLatency("other", time.Hour)
	}
	delay, ok := p.HedgeDelay("s")
	require.True(t, ok)
	require.Equal(t, 191*time.Millisecond, delay)
	later := start.Add(time.Minute)
	require.True(t, p.Hedge(start, HedgeRequest{Idempotent: true, Deadline: later}).Retry)
	require.Equal(t, ReasonNotIdempotent, p.Hedge(start, HedgeRequest{Deadline: later}).Reason)
	require.Equal(t, ReasonFirstByte, p.Hedge(start, HedgeRequest{Idempotent: true, AnswerStarted: true, Deadline: later}).Reason)
	require.Equal(t, ReasonDeadline, p.Hedge(start, HedgeRequest{Idempotent: true, Deadline: start}).Reason)
}

// Guards against one account exhausting the retries of all accounts.
func TestAccountBudget(t *testing.T) {
	p := New(Config{}, start)
	allowed := map[string]int{}
	for range 30 {
		for _, account := range []string{"a", "a", "a", "b"} {
			d := p.Decide(start, rand.NewPCG(1, 1), Attempt{Account: account, Outcome: NotRun, Number: 1, Deadline: start.Add(time.Hour)})
			if d.Retry {
				allowed[account]++
			}
		}
	}
	require.Equal(t, map[string]int{"a": 10, "b": 10}, allowed)
}

// In any interval and under any sequence of outcomes, retries must not exceed a
// tenth of the first attempts plus the fixed rate and burst.
func TestAddedLoadIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxAccounts = 3
		p := New(cfg, start)
		random := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)
		now := start
		type sample struct {
			at             time.Time
			first, retries int
		}
		history := []sample{{now, 0, 0}}
		first, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			account := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "account"))
			times := rapid.IntRange(1, 30).Draw(t, "times")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				for range times {
					p.RecordFirstAttempt(now, account)
					first++
				}
			case 1:
				now = now.Add(time.Duration(times) * 100 * time.Millisecond)
			case 2:
				for range times {
					if p.Hedge(now, HedgeRequest{Account: account, Idempotent: true, Deadline: now.Add(time.Hour)}).Retry {
						retries++
					}
				}
			default:
				for range times {
					a := Attempt{Account: account, Idempotent: true, Outcome: Unknown, Number: 1, Deadline: now.Add(time.Hour)}
					if p.Decide(now, random, a).Retry {
						retries++
					}
				}
			}
			history = append(history, sample{now, first, retries})
			for _, s := range history {
				bound := cfg.Entry.Ratio*float64(first-s.first) + cfg.Entry.PerSecond*now.Sub(s.at).Seconds() + cfg.Entry.Burst
				if float64(retries-s.retries) > bound+1e-6 {
					t.Fatalf("%d retries where %.1f are allowed", retries-s.retries, bound)
				}
			}
		}
		if len(p.accounts) > 3 {
			t.Fatalf("%d accounts are tracked, want at most 3", len(p.accounts))
		}
	})
}

// BenchmarkDecide measures recording a first attempt and deciding on a retry.
func BenchmarkDecide(b *testing.B) {
	p, random := New(Config{}, start), rand.NewPCG(1, 1)
	a := Attempt{Account: "a", Idempotent: true, Outcome: Unknown, Number: 1, Deadline: start.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		p.RecordFirstAttempt(start, "a")
		p.Decide(start, random, a)
	}
}
