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
// measures the time from its restart until it has applied all of them.
func measureRestart(ctx context.Context, o bench.Options, voters *voterSet, result *bench.Result) error {
	table := bench.Table{Title: "restart of a voter", Columns: []string{"missed changes", "runs", "own files read, ms (median)", "all applied, ms (median)", "worst ms"}}
	number := 0
	for _, missed := range bench.ShortOrFull(o, []int{100, 1000}, []int{100, 1000, 10_000}) {
		opened, applied := bench.NewLatencyHistogram(), bench.NewLatencyHistogram()
		for i := range bench.ShortOrFull(o, 1, 3) {
			o.ReportProgress("restart after %d missed changes, run %d", missed, i+1)
			if err := restartOnce(ctx, voters, missed, &number, opened, applied); err != nil {
				return err
			}
		}
		table.AddRow(missed, applied.Count(), bench.Milliseconds(opened.Quantile(50)), bench.Milliseconds(applied.Quantile(50)), bench.Milliseconds(applied.Max()))
	}
	result.Tables = append(result.Tables, table)
	return nil
}

func restartOnce(ctx context.Context, voters *voterSet, missed int, number *int, opened, applied *bench.LatencyHistogram) error {
	leader, err := voters.leaderID()
	if err != nil {
		return err
	}
	stopped := voterIDs[0]
	if stopped == leader {
		stopped = voterIDs[1]
	}
	if err := voters.stop(stopped); err != nil {
		return err
	}
	leaderVoter := voters.get(leader)
	if err := proposeChanges(ctx, leaderVoter, missed, number); err != nil {
		return err
	}
	targetIndex := leaderVoter.Applied()
	started := time.Now()
	restarted, err := voters.start(stopped)
	if err != nil {
		return err
	}
	opened.Record(time.Since(started))
	err = cluster.WaitFor(catchUpTimeout, "catch-up of the restarted voter", func() bool { return restarted.Applied() >= targetIndex })
	applied.Record(time.Since(started))
	return err
}

// proposeChanges commits settings changes sequentially.
func proposeChanges(ctx context.Context, leader *voter, count int, number *int) error {
	base := leader.machine.Tree().Revision()
	for range count {
		*number++
		command, err := globalstate.EncodeChange(makeChange(base, *number))
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
			return fmt.Errorf("change %d: result code %s", *number, r.Code)
		}
		base = r.Revision
	}
	return nil
}

// measureSnapshots measures the encoding and the restoring of snapshots, of
// states that are built without a log.
func measureSnapshots(o bench.Options, result *bench.Result) error {
	table := bench.Table{Title: "snapshot of the global log's state", Columns: []string{"claims", "settings changes", "bytes", "encode ms", "restore ms"}}
	for _, counts := range bench.ShortOrFull(o, [][2]int{{1000, 100}, {10_000, 1000}}, [][2]int{{0, 100}, {0, 1000}, {0, 10_000}, {1000, 100}, {10_000, 1000}, {90_000, 10_000}}) {
		o.ReportProgress("snapshot of %d claims and %d changes", counts[0], counts[1])
		m, err := populatedMachine(counts[0], counts[1])
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
		table.AddRow(counts[0], counts[1], len(data), bench.Milliseconds(encoded), bench.Milliseconds(time.Since(started)))
	}
	result.Tables = append(result.Tables, table)
	return nil
}

// populatedMachine returns a state machine with settings changes and with claims
// whose answers are stored.
func populatedMachine(claims, changes int) (*globalstate.Machine, error) {
	m := globalstate.New()
	index := uint64(0)
	apply := func(command []byte) []byte {
		index++
		return m.Apply(index, command)
	}
	for n := range changes {
		command, err := globalstate.EncodeChange(makeChange(uint64(n), n))
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
			return nil, fmt.Errorf("claim %d: result code %s", n, r.Code)
		}
		apply(globalstate.EncodeClaim(claim.Complete{
			Key: c.Key, Holder: c.Holder, At: c.At, Answer: claim.Answer{Status: 200, Body: make([]byte, answerBodyBytes)},
		}))
	}
	if m.Tree().Revision() != uint64(changes) {
		return nil, fmt.Errorf("settings revision is %d after %d changes", m.Tree().Revision(), changes)
	}
	return m, nil
}
