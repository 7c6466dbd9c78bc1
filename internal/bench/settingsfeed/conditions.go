package settingsfeed

import (
	"context"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

func (r *rig) well(ctx context.Context, result *bench.Result) error {
	return r.load(ctx, result, "all well", r.IDs())
}

func (r *rig) slow(ctx context.Context, result *bench.Result) error {
	r.Partition.Slow(func(from, to string) time.Duration {
		if from == slowPeer || to == slowPeer {
			return slowWrite
		}
		return 0
	})
	defer r.Partition.Slow(nil)
	others := slices.DeleteFunc(slices.Clone(r.IDs()), func(id string) bool { return id == slowPeer })
	if err := r.load(ctx, result, "one peer slow, the others", others); err != nil {
		return err
	}
	all := newSample("one peer slow, all, single changes")
	r.o.Report("%s", all.name)
	if err := r.single(ctx, all, bench.Pick(r.o, 10, 50), r.IDs()); err != nil {
		return err
	}
	add(result, all)
	return nil
}

// cut separates a failure domain, changes settings on the other side, and
// measures the return from the time of healing.
func (r *rig) cut(ctx context.Context, result *bench.Result) error {
	var inside, outside []string
	for _, id := range r.IDs() {
		if r.Config(id).FailureDomain == cutDomain {
			inside = append(inside, id)
		} else {
			outside = append(outside, id)
		}
	}
	healed := newSample("failure domain after healing, from healing")
	for i := range bench.Pick(r.o, 1, 5) {
		r.o.Report("failure domain cut off, %d", i+1)
		r.CutDomain(cutDomain)
		started := time.Now()
		during := newSample("failure domain cut off, the others, right after the cut")
		revision, sentAt, err := r.change(ctx, during)
		if err != nil {
			return err
		}
		at, _ := r.watch.wait(outside, revision)
		during.everywhere.Record(at.Sub(sentAt))
		if i == 0 {
			add(result, during)
		}
		time.Sleep(cutTime - time.Since(started))
		r.CutDomain("")
		back := time.Now()
		at, _ = r.watch.wait(inside, revision)
		healed.everywhere.Record(at.Sub(back))
	}
	add(result, healed)
	return nil
}

// restart kills a daemon, changes settings and measures from its start.
func (r *rig) restart(ctx context.Context, result *bench.Result) error {
	others := slices.DeleteFunc(slices.Clone(r.IDs()), func(id string) bool { return id == restartingPeer })
	during := newSample("one daemon down, the others, single changes")
	back := newSample("daemon after its restart, from its start")
	for i := range bench.Pick(r.o, 1, 5) {
		r.o.Report("one daemon restarts, %d", i+1)
		if err := r.KillDaemon(restartingPeer); err != nil {
			return err
		}
		if err := r.single(ctx, during, 20, others); err != nil {
			return err
		}
		revision := r.Daemon(proposer).Revision()
		started := time.Now()
		if err := r.StartDaemon(restartingPeer); err != nil {
			return err
		}
		at, _ := r.watch.wait([]string{restartingPeer}, revision)
		back.everywhere.Record(at.Sub(started))
	}
	add(result, during)
	add(result, back)
	return nil
}
