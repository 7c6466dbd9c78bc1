package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// waitFor polls a condition until it holds. The timeout only ends a failed test.
func waitFor(t testing.TB, description string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, time.Minute, 5*time.Millisecond, description)
}

// cluster consists of three voters that store their data in real files.
type cluster struct {
	net     *network
	paths   map[string]string
	members map[string]*member
}

var voterIDs = []string{"a", "b", "c"}

func newCluster(t testing.TB, adjust func(*Options)) *cluster {
	c := &cluster{net: newNetwork(), paths: map[string]string{}, members: map[string]*member{}}
	for _, id := range voterIDs {
		c.paths[id] = filepath.Join(t.TempDir(), "data")
		c.start(t, id, storage.OS{}, adjust)
	}
	return c
}

func (c *cluster) start(t testing.TB, id string, fs storage.FS, adjust func(*Options)) *member {
	c.members[id] = startMember(t, c.net, id, c.paths[id], fs, adjust)
	return c.members[id]
}

// leader waits for a leader among the running members and returns it and the
// others.
func (c *cluster) leader(t testing.TB) (leader *member, others []*member) {
	t.Helper()
	waitFor(t, "a leader is elected", func() bool {
		leader, others = nil, nil
		for _, id := range voterIDs {
			m := c.members[id]
			if c.net.find(id, id) != m.Replica {
				continue
			}
			if s := m.Status(); s.IsLeader() && leader == nil {
				leader = m
				continue
			}
			others = append(others, m)
		}
		return leader != nil
	})
	return leader, others
}

// padding makes a snapshot of 1,000 commands span more than two chunks.
var padding = strings.Repeat(".", 600)

func proposeCommands(t testing.TB, m *member, from, count int) {
	t.Helper()
	ctx := testContext(t)
	var wg sync.WaitGroup
	errs := make(chan error, count)
	for i := from; i < from+count; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := m.Propose(ctx, []byte(fmt.Sprintf("command %d%s", i, padding))); err != nil {
				errs <- err
			}
		}()
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

func requireSameCommands(t testing.TB, count int, members ...*member) {
	t.Helper()
	ctx := testContext(t)
	for _, m := range members {
		require.NoError(t, m.Barrier(ctx), m.opts.ID)
		require.Len(t, m.machine.recorded(), count, m.opts.ID)
		require.Equal(t, members[0].machine.recorded(), m.machine.recorded())
	}
}

// Guards against losing acknowledged commands with the leader, against
// followers that cannot forward commands, and against a restarted leader that
// does not rejoin.
func TestLeaderKilledAndRestarted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	leader, others := c.leader(t)
	proposeCommands(t, others[0], 0, 20)
	leader.stop(c.net)
	_, others = c.leader(t)
	proposeCommands(t, others[0], 20, 20)
	restarted := c.start(t, leader.opts.ID, storage.OS{}, nil)
	require.Equal(t, leader.ID(), restarted.ID(), "the storage id must not change at a restart")
	requireSameCommands(t, 40, c.members["a"], c.members["b"], c.members["c"])
}

// Guards against a member that cannot catch up after the others have compacted
// the entries that it lacks, and against one that cannot catch up by entries.
func TestCatchUpAfterMissedEntries(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		adjust   func(*Options)
		snapshot bool
	}{
		{"by entries", nil, false},
		{"by snapshot", func(o *Options) { o.SnapshotEntries = 100 }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, test.adjust)
			_, others := c.leader(t)
			lagging := others[0]
			id := lagging.opts.ID
			proposeCommands(t, others[1], 0, 1)
			requireSameCommands(t, 1, c.members["a"], c.members["b"], c.members["c"])
			lagging.stop(c.net)
			leader, _ := c.leader(t)
			proposeCommands(t, leader, 1, 1000)
			if test.snapshot {
				waitFor(t, "the log is compacted", func() bool { return leader.Status().SnapshotIndex > 500 })
				c.restart(t, test.adjust)
				_, _ = c.leader(t)
			}
			restarted := c.start(t, id, storage.OS{}, test.adjust)
			requireSameCommands(t, 1001, c.members["a"], c.members["b"], restarted)
			if test.snapshot {
				require.Greater(t, restarted.Status().SnapshotIndex, uint64(500))
			}
		})
	}
}

// restart restarts all running members. They then have no entries before their
// snapshots in memory.
func (c *cluster) restart(t testing.TB, adjust func(*Options)) {
	for _, id := range voterIDs {
		if c.net.find(id, id) != nil {
			c.members[id].stop(c.net)
			c.start(t, id, storage.OS{}, adjust)
		}
	}
}

// failingFS fails all syncs of files with an error set by setError, and those of
// one directory with an error set by setDirError.
type failingFS struct {
	storage.OS
	mu      sync.Mutex
	syncErr error
	dir     string
	dirErr  error
}

type failingFile struct {
	storage.File
	fs *failingFS
}

func (f *failingFS) setError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncErr = err
}

func (f *failingFS) setDirError(dir string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dir, f.dirErr = dir, err
}

func (f *failingFS) MkdirAll(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dirErr != nil && path == f.dir {
		return f.dirErr
	}
	return f.OS.MkdirAll(path)
}

func (f *failingFS) Append(path string) (storage.File, error) {
	file, err := f.OS.Append(path)
	return failingFile{file, f}, err
}

func (f *failingFS) Create(path string) (storage.File, error) {
	file, err := f.OS.Create(path)
	return failingFile{file, f}, err
}

func (f failingFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.syncErr != nil {
		return f.fs.syncErr
	}
	return f.File.Sync()
}

// Guards against a replica that votes or acknowledges entries after its disk
// failed, one that can no longer be read, and a leader that does not step down
// without a disk.
func TestFailingDiskStopsVotingButNotReading(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		cause error
		code  storage.Code
	}{
		{"failing sync", syscall.EIO, storage.SyncFailed},
		{"full disk", syscall.ENOSPC, storage.DiskFull},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &cluster{net: newNetwork(), paths: map[string]string{}, members: map[string]*member{}}
			disks := map[string]*failingFS{}
			for _, id := range voterIDs {
				disks[id] = &failingFS{}
				c.paths[id] = filepath.Join(t.TempDir(), "data")
				c.start(t, id, disks[id], nil)
			}
			failed, others := c.leader(t)
			proposeCommands(t, failed, 0, 5)
			disks[failed.opts.ID].setError(test.cause)
			ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
			defer cancel()
			// The result is not checked, because the other voters may commit the
			// entry before the failure is noticed.
			_, _ = failed.Propose(ctx, []byte("command 5"))
			waitFor(t, "the failed member stops voting", func() bool { return failed.Status().Volatile })
			require.Equal(t, test.code, storage.CodeOf(failed.Status().StorageError))

			waitFor(t, "another member becomes leader", func() bool { return others[0].Status().IsLeader() || others[1].Status().IsLeader() })
			proposeCommands(t, others[0], 6, 5)
			require.NoError(t, failed.Barrier(testContext(t)))
			require.NoError(t, others[0].Barrier(testContext(t)))
			require.Equal(t, others[0].machine.recorded(), failed.machine.recorded(), "the failed member must stay current")

			// With only one working disk left, nothing may be acknowledged.
			leader, _ := c.leader(t)
			for _, m := range others {
				if m != leader {
					m.stop(c.net)
				}
			}
			ctx, cancel = context.WithTimeout(testContext(t), 300*time.Millisecond)
			defer cancel()
			_, err := leader.Propose(ctx, []byte("command 11"))
			require.Error(t, err)
		})
	}
}

// Guards against members that never vote again after their disk was full for a
// while: the log then loses its majority once this has happened to two of three.
// Also guards against a recovered member that shows an earlier state, and against
// one that does not have on its disk what it acknowledged.
func TestMembersVoteAgainAfterTheirDisksWork(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		cause  error
		adjust func(*Options)
	}{
		{"full disk", syscall.ENOSPC, nil},
		{"failing sync", syscall.EIO, nil},
		{"full disk, entries compacted meanwhile", syscall.ENOSPC, func(o *Options) { o.SnapshotEntries = 20 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &cluster{net: newNetwork(), paths: map[string]string{}, members: map[string]*member{}}
			disks := map[string]*failingFS{}
			for _, id := range voterIDs {
				disks[id] = &failingFS{}
				c.paths[id] = filepath.Join(t.TempDir(), "data")
				c.start(t, id, disks[id], test.adjust)
			}
			leader, others := c.leader(t)
			proposeCommands(t, leader, 0, 10)
			var count int
			for _, failed := range []*member{leader, others[0]} {
				disks[failed.opts.ID].setError(test.cause)
				ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
				_, _ = failed.Propose(ctx, []byte("interrupted"))
				cancel()
				waitFor(t, "the failed member stops voting", func() bool { return failed.Status().Volatile })
				require.NoError(t, failed.Barrier(testContext(t)))
				count = len(failed.machine.recorded())
				proposeCommands(t, others[1], 1000, 40)
				count += 40
				require.NoError(t, failed.Barrier(testContext(t)))
				before := failed.machine.recorded()
				require.GreaterOrEqual(t, len(before), count)
				disks[failed.opts.ID].setError(nil)
				waitFor(t, "the member votes again", func() bool { return !failed.Status().Volatile })
				after := failed.machine.recorded()
				require.GreaterOrEqual(t, len(after), len(before), "the state must not go back")
				require.Equal(t, before, after[:len(before)])
			}
			require.NoError(t, others[1].Barrier(testContext(t)))
			count = len(others[1].machine.recorded())
			others[1].stop(c.net)
			proposeCommands(t, leader, 2000, 40)
			requireSameCommands(t, count+40, leader, others[0])

			leader.stop(c.net)
			others[0].stop(c.net)
			restarted := []*member{c.start(t, leader.opts.ID, storage.OS{}, test.adjust), c.start(t, others[0].opts.ID, storage.OS{}, test.adjust)}
			require.Equal(t, leader.ID(), restarted[0].ID(), "the storage id must not change")
			requireSameCommands(t, count+40, restarted...)
		})
	}
}

// Guards against a member whose disk was full at its start and that never becomes
// a voter, and against one that forgets the votes and entries on its disk.
func TestDiskThatFailsAtTheStartIsUsedLater(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		empty bool
	}{{"existing log", false}, {"empty disk", true}} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, nil)
			leader, others := c.leader(t)
			proposeCommands(t, leader, 0, 10)
			id := others[0].opts.ID
			others[0].stop(c.net)
			if test.empty {
				require.NoError(t, os.RemoveAll(c.paths[id]))
			}
			fs := &failingFS{}
			var restarted *member
			fs.setDirError(filepath.Join(c.paths[id], "global"), syscall.ENOSPC)
			restarted = c.start(t, id, fs, nil)
			require.True(t, restarted.Status().Volatile)
			proposeCommands(t, leader, 10, 10)
			fs.setDirError("", nil)
			waitFor(t, "the member has a working log", func() bool { return !restarted.Status().Volatile })
			if test.empty {
				require.NoError(t, leader.ProposeVoterChange(testContext(t), VoterChange{Kind: Remove, Instance: id}))
				require.NoError(t, leader.ProposeVoterChange(testContext(t), VoterChange{Kind: AddVoter, Instance: id, Storage: restarted.ID().Storage}))
			}
			others[1].stop(c.net)
			proposeCommands(t, leader, 20, 10)
			requireSameCommands(t, 30, leader, restarted)
		})
	}
}

// Guards against treating a damaged log as a shorter, valid one.
func TestDamagedLogDoesNotVote(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	leader, others := c.leader(t)
	proposeCommands(t, leader, 0, 50)
	damaged := others[0].opts.ID
	others[0].stop(c.net)
	files, err := filepath.Glob(filepath.Join(c.paths[damaged], "global", "*.wal"))
	require.NoError(t, err)
	data, err := os.ReadFile(files[0])
	require.NoError(t, err)
	data[len(data)/2] ^= 0x10
	require.NoError(t, os.WriteFile(files[0], data, 0o600))

	restarted := c.start(t, damaged, storage.OS{}, nil)
	var e *storage.Error
	require.ErrorAs(t, restarted.Status().StorageError, &e)
	require.Equal(t, storage.Damaged, e.Code)
	require.Equal(t, files[0], e.File)
	require.Positive(t, e.Offset)
	require.True(t, restarted.Status().Volatile)
	requireSameCommands(t, 50, leader, restarted)
}

// Guards against an instance that lost its data but still counts as a voter, and
// against its creating a second log.
func TestLostDataDirectoryNeedsAVoterChange(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	proposeCommands(t, c.members["b"], 0, 10)
	require.NoError(t, c.members["b"].TransferLeadership(testContext(t), "b"))
	c.members["a"].stop(c.net) // the first instance is the one that creates the log
	c.paths["a"] = filepath.Join(t.TempDir(), "data")
	fresh := c.start(t, "a", storage.OS{}, nil)
	ctx := testContext(t)
	leader := c.members["b"]
	waitFor(t, "the leader learns the new storage id", func() bool {
		s := leader.Status().NonMembers
		return len(s) == 1 && s[0] == fresh.ID()
	})
	require.NotContains(t, leader.Status().Members.Voters, fresh.ID())

	require.NoError(t, leader.ProposeVoterChange(ctx, VoterChange{Kind: Remove, Instance: "a"}))
	// The follower forwards the change to the leader.
	require.NoError(t, c.members["c"].ProposeVoterChange(ctx, VoterChange{Kind: AddVoter, Instance: "a"}))
	require.Contains(t, leader.Status().Members.Voters, fresh.ID())
	requireSameCommands(t, 10, leader, fresh)
	err := leader.ProposeVoterChange(ctx, VoterChange{Kind: Remove, Instance: "unknown"})
	require.ErrorIs(t, err, ErrNotProposed)
}

// Guards against a voter that was removed while it was down, restarts with its
// old data, still considers itself a member and is never added again.
func TestRemovedVoterReturns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	proposeCommands(t, c.members["b"], 0, 10)
	require.NoError(t, c.members["b"].TransferLeadership(testContext(t), "b"))
	leader, ctx := c.members["b"], testContext(t)
	c.members["a"].stop(c.net)
	require.NoError(t, leader.ProposeVoterChange(ctx, VoterChange{Kind: Remove, Instance: "a"}))
	waitFor(t, "its reports from before the log was created expire", func() bool { return len(leader.Status().NonMembers) == 0 })
	restarted := c.start(t, "a", storage.OS{}, nil)
	waitFor(t, "the restarted instance reports to the leader", func() bool {
		s := leader.Status().NonMembers
		return len(s) == 1 && s[0] == restarted.ID()
	})
	require.NoError(t, leader.ProposeVoterChange(ctx, VoterChange{Kind: AddVoter, Instance: "a"}))
	proposeCommands(t, leader, 10, 10)
	requireSameCommands(t, 20, leader, restarted)
}

// Guards against damaged logs that count as absent, which would let an instance
// that lost its data create a second log.
func TestDamagedLogsAreNotNew(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	proposeCommands(t, c.members["a"], 0, 1)
	requireSameCommands(t, 1, c.members["a"], c.members["b"], c.members["c"])
	for _, id := range voterIDs {
		c.members[id].stop(c.net)
		files, err := filepath.Glob(filepath.Join(c.paths[id], "global", "*.snapshot"))
		require.NoError(t, err)
		require.NoError(t, os.Truncate(files[0], 5))
	}
	c.paths["a"] = filepath.Join(t.TempDir(), "data")
	for _, id := range voterIDs {
		c.start(t, id, storage.OS{}, nil)
	}
	fresh := c.members["a"]
	waitFor(t, "the other instances have reported", func() bool { return len(fresh.Status().NonMembers) == 2 })
	require.Empty(t, fresh.Status().Members.Voters)
}

// Guards against a replica without a disk that becomes a voter or that cannot
// replicate the log.
func TestLearnerWithoutDisk(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	leader, _ := c.leader(t)
	proposeCommands(t, leader, 0, 10)
	learner := startMember(t, c.net, "d", "", nil, nil)
	ctx := testContext(t)
	waitFor(t, "the learner reports to the leader", func() bool { return len(leader.Status().NonMembers) == 1 })
	require.NoError(t, leader.ProposeVoterChange(ctx, VoterChange{Kind: AddLearner, Instance: "d"}))
	requireSameCommands(t, 10, leader, learner)
	_, err := learner.Propose(ctx, []byte("from the learner"))
	require.NoError(t, err)
	shortCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	err = leader.ProposeVoterChange(shortCtx, VoterChange{Kind: AddVoter, Instance: "d"})
	require.Error(t, err, "a replica without a disk must not become a voter")
	require.NotContains(t, leader.Status().Members.Voters, learner.ID())
}

// Guards against wrong outcomes for commands that cannot be committed.
func TestOutcomesWithoutAMajority(t *testing.T) {
	t.Parallel()
	// The long timeout keeps the isolated leader from stepping down before the
	// command is proposed.
	c := newCluster(t, func(o *Options) {
		o.LeaderWait, o.ElectionTimeout = 100*time.Millisecond, 1500*time.Millisecond
	})
	leader, others := c.leader(t)
	proposeCommands(t, leader, 0, 1)
	c.net.setIsolated(leader.opts.ID, true)
	ctx, cancel := context.WithTimeout(testContext(t), 500*time.Millisecond)
	defer cancel()
	_, err := leader.Propose(ctx, []byte("appended but not committed"))
	require.ErrorIs(t, err, ErrUnknownResult)
	require.Equal(t, fault.Unknown, fault.OutcomeOf(err))
	waitFor(t, "the isolated leader steps down", func() bool { return !leader.Status().IsLeader() })
	_, err = leader.Propose(testContext(t), []byte("proposed without a leader"))
	require.ErrorIs(t, err, ErrNotProposed)
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	shortCtx, cancel := context.WithTimeout(testContext(t), 100*time.Millisecond)
	defer cancel()
	require.Error(t, leader.Barrier(shortCtx), "an isolated leader must not serve linearizable reads")

	waitFor(t, "the majority elects another leader", func() bool { return others[0].Status().IsLeader() || others[1].Status().IsLeader() })
	current, _ := c.leader(t)
	proposeCommands(t, current, 1, 1)
	c.net.setIsolated(leader.opts.ID, false)
	requireSameCommands(t, 2, current, leader)
}

// Guards against state that reverts at a restart: a member must apply again the
// entries that it had applied, even while no other member is reachable.
func TestSyncedCommitNeedsNoLeader(t *testing.T) {
	t.Parallel()
	withSyncCommit := func(o *Options) { o.SyncCommit = true }
	c := newCluster(t, withSyncCommit)
	proposeCommands(t, c.members["a"], 0, 5)
	requireSameCommands(t, 5, c.members["a"], c.members["b"], c.members["c"])
	for _, id := range voterIDs {
		c.members[id].stop(c.net)
	}
	restarted := c.start(t, "b", storage.OS{}, withSyncCommit)
	waitFor(t, "the entries are applied", func() bool { return len(restarted.machine.recorded()) == 5 })
}
