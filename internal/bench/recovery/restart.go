package recovery

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/internal/bench"
	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/settings"
)

// measureRestart stops a voter, commits settings changes without it, and
// measures from its start until it has applied all of them.
func measureRestart(ctx context.Context, o bench.Options, all *voters, result *bench.Result) error {
	table := bench.Table{Title: "restart of a voter", Columns: []string{"missed changes", "runs", "own files read, ms (median)", "all applied, ms (median)", "worst ms"}}
	number := 0
	for _, missed := range bench.Pick(o, []int{100, 1000}, []int{100, 1000, 10_000}) {
		opened, applied := bench.NewLatencies(), bench.NewLatencies()
		for i := range bench.Pick(o, 1, 3) {
			o.Report("restart after %d missed changes, %d", missed, i+1)
			if err := restartOnce(ctx, all, missed, &number, opened, applied); err != nil {
				return err
			}
		}
		table.Row(missed, applied.Count(), bench.Millis(opened.At(50)), bench.Millis(applied.At(50)), bench.Millis(applied.Max()))
	}
	result.Tables = append(result.Tables, table)
	return nil
}

func restartOnce(ctx context.Context, all *voters, missed int, number *int, opened, applied *bench.Latencies) error {
	leader, err := all.leader()
	if err != nil {
		return err
	}
	away := voterIDs[0]
	if away == leader {
		away = voterIDs[1]
	}
	if err := all.stop(away); err != nil {
		return err
	}
	v := all.get(leader)
	if err := propose(ctx, v, missed, number); err != nil {
		return err
	}
	index := v.Applied()
	started := time.Now()
	back, err := all.start(away)
	if err != nil {
		return err
	}
	opened.Record(time.Since(started))
	err = cluster.WaitFor(catchUpWait, "the return of the voter", func() bool { return back.Applied() >= index })
	applied.Record(time.Since(started))
	return err
}

// propose commits settings changes one after another.
func propose(ctx context.Context, leader *voter, count int, number *int) error {
	base := leader.machine.Tree().Revision()
	for range count {
		*number++
		command, err := globalstate.EncodeChange(change(base, *number))
		if err != nil {
			return err
		}
		answer, err := leader.Propose(ctx, command)
		if err != nil {
			return err
		}
		r, err := globalstate.DecodeChangeResult(answer)
		if err != nil {
			return err
		}
		if r.Code != settings.Applied {
			return fmt.Errorf("change %d was answered with %s", *number, r.Code)
		}
		base = r.Revision
	}
	return nil
}

// measureSnapshots builds states without a log.
func measureSnapshots(o bench.Options, result *bench.Result) error {
	table := bench.Table{Title: "snapshot of the global log's state", Columns: []string{"claims", "settings changes", "bytes", "encode ms", "restore ms"}}
	for _, size := range bench.Pick(o, [][2]int{{1000, 100}, {10_000, 1000}}, [][2]int{{0, 100}, {0, 1000}, {0, 10_000}, {1000, 100}, {10_000, 1000}, {90_000, 10_000}}) {
		o.Report("snapshot of %d claims and %d changes", size[0], size[1])
		m, err := filled(size[0], size[1])
		if err != nil {
			return err
		}
		started := time.Now()
		data, err := m.Snapshot()
		if err != nil {
			return err
		}
		encoded := time.Since(started)
		started = time.Now()
		if err := globalstate.New().Restore(data); err != nil {
			return err
		}
		table.Row(size[0], size[1], len(data), bench.Millis(encoded), bench.Millis(time.Since(started)))
	}
	result.Tables = append(result.Tables, table)
	return nil
}

// filled returns a state with claims whose answers are stored.
func filled(claims, changes int) (*globalstate.Machine, error) {
	m := globalstate.New()
	index := uint64(0)
	apply := func(command []byte) []byte {
		index++
		return m.Apply(index, command)
	}
	for n := range changes {
		command, err := globalstate.EncodeChange(change(uint64(n), n))
		if err != nil {
			return nil, err
		}
		apply(command)
	}
	for n := range claims {
		c := newClaim(int64(n))
		r, err := globalstate.DecodeClaimResult(apply(globalstate.EncodeClaim(c)))
		if err != nil {
			return nil, err
		}
		if r.Code != claim.Granted {
			return nil, fmt.Errorf("claim %d was answered with %s", n, r.Code)
		}
		apply(globalstate.EncodeClaim(claim.Complete{
			Key: c.Key, Holder: c.Holder, At: c.At, Answer: claim.Answer{Status: 200, Body: make([]byte, answerBytes)},
		}))
	}
	if m.Tree().Revision() != uint64(changes) {
		return nil, fmt.Errorf("revision %d after %d changes", m.Tree().Revision(), changes)
	}
	return m, nil
}
