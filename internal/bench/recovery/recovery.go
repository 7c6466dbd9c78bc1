// Package recovery measures the global log: claims with synced files, the
// return of a voter that missed changes, and the size of snapshots.
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

// Experiment is the experiment "recovery".
var Experiment = bench.Experiment{
	Name: "recovery", Description: "Claims with synced files, restart of a voter, snapshot sizes", Run: run,
}

const (
	accounts     = 8
	answerBytes  = 300
	changed      = "account-0"
	catchUpWait  = 2 * time.Minute
	claimTimeout = time.Minute
)

func run(ctx context.Context, o bench.Options) (*bench.Result, error) {
	folder, err := os.MkdirTemp("", "bluebellfield-recovery-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	all, err := startVoters(folder)
	if err != nil {
		return nil, err
	}
	defer func() { _ = all.close() }()
	result := &bench.Result{}
	if err := measureClaims(ctx, o, all, folder, result); err != nil {
		return nil, err
	}
	if err := measureRestart(ctx, o, all, result); err != nil {
		return nil, err
	}
	return result, measureSnapshots(o, result)
}

// newClaim returns the n-th claim. Its key is new.
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
		err = fmt.Errorf("claim %d was answered with %s", n, r.Code)
	}
	return err
}

// measureClaims runs claims with different numbers at once. One at a time has a
// sync of its own on each voter; claims that arrive during a sync share the
// next one.
func measureClaims(ctx context.Context, o bench.Options, all *voters, folder string, result *bench.Result) error {
	id, err := all.leader()
	if err != nil {
		return err
	}
	table := bench.Table{Title: "claims through three voters with synced files", Columns: []string{"at once", "claims", "claims/s", "p50 ms", "p99 ms", "max ms"}}
	raw, err := rawSync(folder, bench.Pick(o, 200, 2000))
	if err != nil {
		return err
	}
	table.Row("one sync of 200 bytes", raw.Count(), "", bench.Millis(raw.At(50)), bench.Millis(raw.At(99)), bench.Millis(raw.Max()))
	var number atomic.Int64
	for _, at := range []struct{ once, claims int }{
		{1, bench.Pick(o, 200, 2000)}, {16, bench.Pick(o, 500, 10_000)}, {256, bench.Pick(o, 1000, 30_000)},
	} {
		o.Report("claims, %d at once", at.once)
		latencies, wall, err := runClaims(ctx, all.get(id), &number, at.once, at.claims)
		if err != nil {
			return err
		}
		table.Row(at.once, at.claims, float64(at.claims)/wall.Seconds(), bench.Millis(latencies.At(50)), bench.Millis(latencies.At(99)), bench.Millis(latencies.Max()))
	}
	result.Tables = append(result.Tables, table)
	return nil
}

func runClaims(ctx context.Context, leader *voter, number *atomic.Int64, once, claims int) (*bench.Latencies, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	latencies := bench.NewLatencies()
	times := make([][]time.Duration, once)
	var next atomic.Int64
	started := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	for i := range once {
		g.Go(func() error {
			for next.Add(1) <= int64(claims) {
				at := time.Now()
				if err := proposeClaim(ctx, leader, number.Add(1)); err != nil {
					return err
				}
				times[i] = append(times[i], time.Since(at))
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

// rawSync times the syncs of a file that grows by the size of a claim.
func rawSync(folder string, count int) (*bench.Latencies, error) {
	f, err := os.CreateTemp(folder, "sync")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	latencies, data := bench.NewLatencies(), make([]byte, 200)
	for range count {
		at := time.Now()
		if _, err := f.Write(data); err != nil {
			return nil, err
		}
		if err := f.Sync(); err != nil {
			return nil, err
		}
		latencies.Record(time.Since(at))
	}
	return latencies, nil
}

// change returns the n-th settings change on top of a revision.
func change(base uint64, n int) settings.Change {
	ops := []settings.Op{{
		Op: settings.OpSet, Path: settings.AccountPath(changed), Key: settings.KeyMaxRequestsPerSecond, Value: settings.Number(float64(n%1000 + 1)),
	}}
	if base == 0 {
		ops = append([]settings.Op{{Op: settings.OpSet, Path: settings.AccountPath(changed), Key: settings.KeyClass, Value: settings.Text(settings.ClassPaying)}}, ops...)
	}
	return settings.Change{ID: fmt.Sprintf("change-%d", n), Base: base, Author: "bench", At: time.Now(), Ops: ops}
}
