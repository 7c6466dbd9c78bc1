package settingsfeed

import (
	"context"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

func (t *testbed) measureNormal(ctx context.Context, result *bench.Result) error {
	return t.measureSinglesAndBursts(ctx, result, "all well", t.IDs())
}

func (t *testbed) measureSlowPeer(ctx context.Context, result *bench.Result) error {
	t.Network.SetDelay(func(from, to string) time.Duration {
		if from == slowPeer || to == slowPeer {
			return slowPeerDelay
		}
		return 0
	})
	defer t.Network.SetDelay(nil)
	others := slices.DeleteFunc(slices.Clone(t.IDs()), func(id string) bool { return id == slowPeer })
	if err := t.measureSinglesAndBursts(ctx, result, "one peer slow, the others", others); err != nil {
		return err
	}
	all := newSample("one peer slow, all, single changes")
	t.options.ReportProgress("%s", all.name)
	if err := t.measureSingleChanges(ctx, all, bench.ShortOrFull(t.options, 10, 50), t.IDs()); err != nil {
		return err
	}
	addRow(result, all)
	return nil
}

// measurePartition partitions a failure domain from the others, changes settings
// outside it, and measures how long its entries take to catch up once the
// partition has healed.
func (t *testbed) measurePartition(ctx context.Context, result *bench.Result) error {
	var inside, outside []string
	for _, id := range t.IDs() {
		if t.Config(id).FailureDomain == partitionedDomain {
			inside = append(inside, id)
		} else {
			outside = append(outside, id)
		}
	}
	healed := newSample("failure domain after healing, from healing")
	for i := range bench.ShortOrFull(t.options, 1, 5) {
		t.options.ReportProgress("failure domain partitioned, run %d", i+1)
		t.PartitionDomain(partitionedDomain)
		started := time.Now()
		during := newSample("failure domain cut off, the others, right after the cut")
		revision, sentAt, err := t.sendChange(ctx, during)
		if err != nil {
			return err
		}
		inForceAt, _ := t.watcher.wait(outside, revision)
		during.inForce.Record(inForceAt.Sub(sentAt))
		if i == 0 {
			addRow(result, during)
		}
		time.Sleep(partitionDuration - time.Since(started))
		t.PartitionDomain("")
		healedAt := time.Now()
		inForceAt, _ = t.watcher.wait(inside, revision)
		healed.inForce.Record(inForceAt.Sub(healedAt))
	}
	addRow(result, healed)
	return nil
}

// measureRestart kills a daemon, changes settings, and measures how long the
// daemon takes to catch up from its restart.
func (t *testbed) measureRestart(ctx context.Context, result *bench.Result) error {
	others := slices.DeleteFunc(slices.Clone(t.IDs()), func(id string) bool { return id == restartingPeer })
	during := newSample("one daemon down, the others, single changes")
	restarted := newSample("daemon after its restart, from its start")
	for i := range bench.ShortOrFull(t.options, 1, 5) {
		t.options.ReportProgress("daemon restart, run %d", i+1)
		if err := t.KillDaemon(restartingPeer); err != nil {
			return err
		}
		if err := t.measureSingleChanges(ctx, during, 20, others); err != nil {
			return err
		}
		revision := t.Daemon(proposer).Revision()
		started := time.Now()
		if err := t.StartDaemon(restartingPeer); err != nil {
			return err
		}
		inForceAt, _ := t.watcher.wait([]string{restartingPeer}, revision)
		restarted.inForce.Record(inForceAt.Sub(started))
	}
	addRow(result, during)
	addRow(result, restarted)
	return nil
}
