// Package recovery measures the global log: the throughput of claims with synced
// files, the catch-up of a voter that missed changes, and the size of snapshots.
package recovery

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Experiment is run by bluebellctl bench recovery.
var Experiment = bench.Experiment{
	Name: "recovery", Description: "Claims with synced files, restart of a voter, snapshot sizes", Run: run,
}

const (
	accounts        = 8
	answerBodyBytes = 300
	changedAccount  = "account-0"
	catchUpTimeout  = 2 * time.Minute
	claimTimeout    = time.Minute
)

func run(ctx context.Context, o bench.Options) (*bench.Result, error) {
	folder, err := os.MkdirTemp("", "bluebellfield-recovery-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	voters, err := startVoters(folder)
	if err != nil {
		return nil, err
	}
	defer func() { _ = voters.close() }()
	result := &bench.Result{}
	if err := measureClaims(ctx, o, voters, folder, result); err != nil {
		return nil, err
	}
	if err := measureRestart(ctx, o, voters, result); err != nil {
		return nil, err
	}
	return result, measureSnapshots(o, result)
}

// newClaim returns the n-th claim. Every n has a different key.
func newClaim(n int64) claim.Claim {
	account := fmt.Sprintf("account-%d", n%accounts)
	now := time.Now()
	return claim.Claim{
		Key: claim.HashKey(account, "orders", fmt.Sprint("key-", n)), Account: account, At: now, Deadline: now.Add(time.Minute),
		Holder: claim.Holder{Entry: "a1", Incarnation: 1, Request: fmt.Sprint("request-", n)},
	}
}

func proposeClaim(ctx context.Context, leader *voter, n int64) error {
	answer, err := leader.Propose(ctx, globalstate.EncodeClaim(newClaim(n)))
	if err != nil {
		return err
	}
	r, err := globalstate.DecodeClaimResult(answer)
	if err == nil && r.Code != claim.Granted {
		err = fmt.Errorf("claim %d: result code %s", n, r.Code)
	}
	return err
}

// measureClaims measures claims at different levels of concurrency. A single
// claim needs its own sync on each voter, while claims that arrive during a sync
// share the next one.
func measureClaims(ctx context.Context, o bench.Options, voters *voterSet, folder string, result *bench.Result) error {
	leader, err := voters.leaderID()
	if err != nil {
		return err
	}
	table := bench.Table{Title: "claims through three voters with synced files", Columns: []string{"at once", "claims", "claims/s", "p50 ms", "p99 ms", "max ms"}}
	syncTimes, err := measureSync(folder, bench.ShortOrFull(o, 200, 2000))
	if err != nil {
		return err
	}
	table.AddRow("one sync of 200 bytes", syncTimes.Count(), "", bench.Milliseconds(syncTimes.Quantile(50)), bench.Milliseconds(syncTimes.Quantile(99)), bench.Milliseconds(syncTimes.Max()))
	var number atomic.Int64
	for _, load := range []struct{ concurrency, claims int }{
		{1, bench.ShortOrFull(o, 200, 2000)}, {16, bench.ShortOrFull(o, 500, 10_000)}, {256, bench.ShortOrFull(o, 1000, 30_000)},
	} {
		o.ReportProgress("claims, concurrency %d", load.concurrency)
		latencies, wall, err := runClaims(ctx, voters.get(leader), &number, load.concurrency, load.claims)
		if err != nil {
			return err
		}
		table.AddRow(load.concurrency, load.claims, float64(load.claims)/wall.Seconds(), bench.Milliseconds(latencies.Quantile(50)), bench.Milliseconds(latencies.Quantile(99)), bench.Milliseconds(latencies.Max()))
	}
	result.Tables = append(result.Tables, table)
	return nil
}

func runClaims(ctx context.Context, leader *voter, number *atomic.Int64, concurrency, claims int) (*bench.LatencyHistogram, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	latencies := bench.NewLatencyHistogram()
	times := make([][]time.Duration, concurrency)
	var next atomic.Int64
	started := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	for i := range concurrency {
		g.Go(func() error {
			for next.Add(1) <= int64(claims) {
				proposedAt := time.Now()
				if err := proposeClaim(ctx, leader, number.Add(1)); err != nil {
					return err
				}
				times[i] = append(times[i], time.Since(proposedAt))
			}
			return nil
		})
	}
	err := g.Wait()
	wall := time.Since(started)
	for _, list := range times {
		for _, t := range list {
			latencies.Record(t)
		}
	}
	return latencies, wall, err
}

// measureSync measures the time to append 200 bytes, the size of a claim, to a
// file and to sync it.
func measureSync(folder string, count int) (*bench.LatencyHistogram, error) {
	f, err := os.CreateTemp(folder, "sync")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	latencies, data := bench.NewLatencyHistogram(), make([]byte, 200)
	for range count {
		startedAt := time.Now()
		if _, err := f.Write(data); err != nil {
			return nil, err
		}
		if err := f.Sync(); err != nil {
			return nil, err
		}
		latencies.Record(time.Since(startedAt))
	}
	return latencies, nil
}

// makeChange returns the n-th settings change, based on a revision.
func makeChange(base uint64, n int) settings.Change {
	ops := []settings.Op{{
		Op: settings.OpSet, Path: settings.AccountPath(changedAccount), Key: settings.KeyMaxRequestsPerSecond, Value: settings.Number(float64(n%1000 + 1)),
	}}
	if base == 0 {
		ops = append([]settings.Op{{Op: settings.OpSet, Path: settings.AccountPath(changedAccount), Key: settings.KeyClass, Value: settings.Text(settings.ClassPaying)}}, ops...)
	}
	return settings.Change{ID: fmt.Sprintf("change-%d", n), Base: base, Author: "bench", At: time.Now(), Ops: ops}
}
