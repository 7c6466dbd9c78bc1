// Package settingsfeed measures the time from sending a settings change until it
// is in force on every entry. It runs seven real daemons on loopback under four
// conditions: no faults, a slow peer, a partitioned failure domain and a
// restarting daemon.
package settingsfeed

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Experiment is run by bluebellctl bench settings.
var Experiment = bench.Experiment{
	Name: "settings", Description: "Time from a settings change to its being in force on every entry", Run: run,
}

const (
	readyTimeout = 30 * time.Second
	// inForceTimeout bounds the wait for a change to come into force. A change
	// that exceeds it is recorded with the time waited and ends its sample.
	inForceTimeout = 30 * time.Second
	// maxTimeToInForce is the target for the current deployment size.
	maxTimeToInForce = 2 * time.Second
	// slowPeerDelay delays each write to and from the slow peer, which limits a
	// connection to about 50 messages/s. 50 ms overloads the peer: 500 changes
	// in bursts were not in force on it after 30 s.
	slowPeerDelay     = 10 * time.Millisecond
	partitionDuration = 4 * time.Second
	// changesPerDay is the planned rate. A burst has the changes of 14 min.
	changesPerDay  = 10_000
	burstSize      = 100
	changedAccount = "stable"

	slowPeer          = "b2"
	partitionedDomain = "c"
	restartingPeer    = "c2"
	proposer          = "a1"
)

var settingsTree = fmt.Sprintf(`{
  "accounts": {%q: {"class": "paying", "keyHashes": [%q]}},
  "services": {"model": {"kind": "model", "model": "model"}},
}`, changedAccount, cluster.KeyHash("key"))

// testbed is a cluster with a watcher of the settings revisions on its entries.
type testbed struct {
	*cluster.Cluster
	options    bench.Options
	watcher    *watcher
	lastChange int
}

func run(ctx context.Context, o bench.Options) (*bench.Result, error) {
	folder, err := os.MkdirTemp("", "bluebellfield-settings-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c, err := cluster.Start(folder, cluster.DefaultLayout(settingsTree))
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if err := c.WaitReady(readyTimeout); err != nil {
		return nil, err
	}
	t := &testbed{Cluster: c, options: o, watcher: startWatcher(c)}
	defer t.watcher.stop()
	result := &bench.Result{}
	for _, run := range []func(context.Context, *bench.Result) error{t.measureNormal, t.measureSlowPeer, t.measurePartition, t.measureRestart} {
		if err := run(ctx, result); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// sample holds the times from sending changes until they are answered and until
// they are in force on all entries.
type sample struct {
	name              string
	answered, inForce *bench.LatencyHistogram
}

func newSample(name string) *sample {
	return &sample{name, bench.NewLatencyHistogram(), bench.NewLatencyHistogram()}
}

// sendChange sends one change and returns its revision and the time of sending.
func (t *testbed) sendChange(ctx context.Context, s *sample) (uint64, time.Time, error) {
	t.lastChange++
	sentAt := time.Now()
	for attempt := 0; ; attempt++ {
		result, err := t.Propose(ctx, proposer, settings.Change{
			ID: fmt.Sprintf("change-%d-%d", t.lastChange, attempt), Base: t.Daemon(proposer).Revision(), Author: "bench", At: time.Now(),
			Ops: []settings.Op{{
				Op: settings.OpSet, Path: settings.AccountPath(changedAccount), Key: settings.KeyMaxRequestsPerSecond, Value: settings.Number(float64(t.lastChange)),
			}},
		})
		if err != nil {
			return 0, sentAt, fmt.Errorf("change %d: %w", t.lastChange, err)
		}
		switch {
		case result.Code == settings.Applied:
			s.answered.Record(time.Since(sentAt))
			return result.Revision, sentAt, nil
		case result.Code == settings.Conflicting && time.Since(sentAt) < inForceTimeout:
			// The previous revision is committed but not yet in force here.
			time.Sleep(time.Millisecond)
		default:
			return 0, sentAt, fmt.Errorf("change %d: result code %s", t.lastChange, result.Code)
		}
	}
}

// measureSingleChanges sends changes sequentially, each after the previous one is
// in force.
func (t *testbed) measureSingleChanges(ctx context.Context, s *sample, count int, entries []string) error {
	for range count {
		revision, sentAt, err := t.sendChange(ctx, s)
		if err != nil {
			return err
		}
		inForceAt, ok := t.watcher.wait(entries, revision)
		s.inForce.Record(inForceAt.Sub(sentAt))
		if !ok {
			return nil
		}
	}
	return nil
}

// measureBurst sends changes without waiting for the previous ones to come into
// force.
func (t *testbed) measureBurst(ctx context.Context, s *sample, count int, entries []string) error {
	type sentChange struct {
		revision uint64
		sentAt   time.Time
	}
	var all []sentChange
	for range count {
		revision, sentAt, err := t.sendChange(ctx, s)
		if err != nil {
			return err
		}
		all = append(all, sentChange{revision, sentAt})
	}
	for _, c := range all {
		inForceAt, ok := t.watcher.wait(entries, c.revision)
		s.inForce.Record(inForceAt.Sub(c.sentAt))
		if !ok {
			return nil
		}
	}
	return nil
}

// measureSinglesAndBursts measures single changes and bursts under a condition
// and adds their rows to the result.
func (t *testbed) measureSinglesAndBursts(ctx context.Context, result *bench.Result, condition string, entries []string) error {
	singles, bursts := newSample(condition+", single changes"), newSample(condition+", bursts of 100")
	t.options.ReportProgress("%s", singles.name)
	if err := t.measureSingleChanges(ctx, singles, bench.ShortOrFull(t.options, 10, 100), entries); err != nil {
		return err
	}
	for i := range bench.ShortOrFull(t.options, 1, 5) {
		t.options.ReportProgress("%s, burst %d", bursts.name, i+1)
		if err := t.measureBurst(ctx, bursts, burstSize, entries); err != nil {
			return err
		}
	}
	addRow(result, singles)
	addRow(result, bursts)
	return nil
}

func addRow(result *bench.Result, s *sample) {
	if len(result.Tables) == 0 {
		result.Tables = []bench.Table{{
			Title:   "from sending a change, in ms, seven daemons in three failure domains",
			Columns: []string{"condition", "changes", "answered p50", "answered p99", "in force everywhere p50", "p99", "worst"},
		}}
	}
	result.Tables[0].AddRow(s.name, s.inForce.Count(), bench.Milliseconds(s.answered.Quantile(50)), bench.Milliseconds(s.answered.Quantile(99)),
		bench.Milliseconds(s.inForce.Quantile(50)), bench.Milliseconds(s.inForce.Quantile(99)), bench.Milliseconds(s.inForce.Max()))
	result.AtMost("worst, "+s.name, s.inForce.Max().Seconds(), maxTimeToInForce.Seconds(), " s")
}
