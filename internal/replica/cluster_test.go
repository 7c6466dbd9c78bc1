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

// await waits until a condition on replicas holds. The condition is checked at
// each change and at short intervals; the limit only ends a failed test.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, time.Minute, 5*time.Millisecond, what)
}

// cluster is three voters with real files.
type cluster struct {
	n       *network
	paths   map[string]string
	members map[string]*member
}

var ids = []string{"a", "b", "c"}

func newCluster(t testing.TB, adjust func(*Options)) *cluster {
	c := &cluster{n: newNetwork(), paths: map[string]string{}, members: map[string]*member{}}
	for _, id := range ids {
		c.paths[id] = filepath.Join(t.TempDir(), "data")
		c.start(t, id, storage.OS{}, adjust)
	}
	return c
}

func (c *cluster) start(t testing.TB, id string, fs storage.FS, adjust func(*Options)) *member {
	c.members[id] = startMember(t, c.n, id, c.paths[id], fs, adjust)
	return c.members[id]
}

// leader waits for a leader among the running members and returns it with the
// others.
func (c *cluster) leader(t testing.TB) (leader *member, others []*member) {
	t.Helper()
	await(t, "a leader is elected", func() bool {
		leader, others = nil, nil
		for _, id := range ids {
			m := c.members[id]
			if c.n.find(id, id) != m.Replica {
				continue
			}
			if s := m.Status(); s.Leads() && leader == nil {
				leader = m
				continue
			}
			others = append(others, m)
		}
		return leader != nil
	})
	return leader, others
}

// padding makes the snapshot of 1,000 commands longer than two chunks.
var padding = strings.Repeat(".", 600)

func propose(t testing.TB, m *member, from, count int) {
	t.Helper()
	ctx := testContext(t)
	var wait sync.WaitGroup
	errs := make(chan error, count)
	for i := from; i < from+count; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if _, err := m.Propose(ctx, []byte(fmt.Sprintf("command %d%s", i, padding))); err != nil {
				errs <- err
			}
		}()
	}
	wait.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

func requireSame(t testing.TB, count int, members ...*member) {
	t.Helper()
	ctx := testContext(t)
	for _, m := range members {
		require.NoError(t, m.Barrier(ctx), m.o.ID)
		require.Len(t, m.machine.list(), count, m.o.ID)
		require.Equal(t, members[0].machine.list(), m.machine.list())
	}
}

// Guards against acknowledged commands lost with the leader, commands that
// followers cannot forward, and a restarted leader that does not rejoin.
func TestLeaderKilledAndRestarted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	leader, others := c.leader(t)
	propose(t, others[0], 0, 20)
	leader.stop(c.n)
	_, others = c.leader(t)
	propose(t, others[0], 20, 20)
	old := c.start(t, leader.o.ID, storage.OS{}, nil)
	require.Equal(t, leader.ID(), old.ID(), "the storage id outlives a restart")
	requireSame(t, 40, c.members["a"], c.members["b"], c.members["c"])
}

// Guards against a member that cannot follow after missing entries that the
// others have compacted, and one that needs a snapshot for a few entries.
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
			behind := others[0]
			id := behind.o.ID
			propose(t, others[1], 0, 1)
			requireSame(t, 1, c.members["a"], c.members["b"], c.members["c"])
			behind.stop(c.n)
			leader, _ := c.leader(t)
			propose(t, leader, 1, 1000)
			if test.snapshot {
				await(t, "the log is compacted", func() bool { return leader.Status().SnapshotIndex > 500 })
				c.restart(t, test.adjust)
				_, _ = c.leader(t)
			}
			back := c.start(t, id, storage.OS{}, test.adjust)
			requireSame(t, 1001, c.members["a"], c.members["b"], back)
			if test.snapshot {
				require.Greater(t, back.Status().SnapshotIndex, uint64(500))
			}
		})
	}
}

// restart stops and starts all running members, which then hold no entries
// before their snapshots in memory.
func (c *cluster) restart(t testing.TB, adjust func(*Options)) {
	for _, id := range ids {
		if c.n.find(id, id) != nil {
			c.members[id].stop(c.n)
			c.start(t, id, storage.OS{}, adjust)
		}
	}
}

// failingFS fails the syncs of files once it is told to.
type failingFS struct {
	storage.OS
	mu   sync.Mutex
	fail error
}

type failingFile struct {
	storage.File
	fs *failingFS
}

func (f *failingFS) set(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = err
}

func (f *failingFS) Create(path string) (storage.File, error) {
	file, err := f.OS.Create(path)
	return failingFile{file, f}, err
}

func (f failingFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.fail != nil {
		return f.fs.fail
	}
	return f.File.Sync()
}

// Guards against a replica that votes or acknowledges after its disk failed,
// one that stops being readable, and a leader that stays one without a disk.
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
			c := &cluster{n: newNetwork(), paths: map[string]string{}, members: map[string]*member{}}
			disks := map[string]*failingFS{}
			for _, id := range ids {
				disks[id] = &failingFS{}
				c.paths[id] = filepath.Join(t.TempDir(), "data")
				c.start(t, id, disks[id], nil)
			}
			failed, others := c.leader(t)
			propose(t, failed, 0, 5)
			disks[failed.o.ID].set(test.cause)
			ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
			defer cancel()
			// The result is not asserted: the others may commit the entry first.
			_, _ = failed.Propose(ctx, []byte("command 5"))
			await(t, "the failed member stops voting", func() bool { return failed.Status().Volatile })
			require.Equal(t, test.code, storage.CodeOf(failed.Status().StorageError))

			await(t, "another member leads", func() bool { return others[0].Status().Leads() || others[1].Status().Leads() })
			propose(t, others[0], 6, 5)
			require.NoError(t, failed.Barrier(testContext(t)))
			require.NoError(t, others[0].Barrier(testContext(t)))
			require.Equal(t, others[0].machine.list(), failed.machine.list(), "the failed member stays current")

			// Without the second working disk nothing may be acknowledged.
			leader, _ := c.leader(t)
			for _, m := range others {
				if m != leader {
					m.stop(c.n)
				}
			}
			ctx, cancel = context.WithTimeout(testContext(t), 300*time.Millisecond)
			defer cancel()
			_, err := leader.Propose(ctx, []byte("command 11"))
			require.Error(t, err)
		})
	}
}

// Guards against a damaged log being treated as a shorter, valid one.
func TestDamagedLogDoesNotVote(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	leader, others := c.leader(t)
	propose(t, leader, 0, 50)
	damaged := others[0].o.ID
	others[0].stop(c.n)
	files, err := filepath.Glob(filepath.Join(c.paths[damaged], "global", "*.wal"))
	require.NoError(t, err)
	data, err := os.ReadFile(files[0])
	require.NoError(t, err)
	data[len(data)/2] ^= 0x10
	require.NoError(t, os.WriteFile(files[0], data, 0o600))

	back := c.start(t, damaged, storage.OS{}, nil)
	var e *storage.Error
	require.ErrorAs(t, back.Status().StorageError, &e)
	require.Equal(t, storage.Damaged, e.Code)
	require.Equal(t, files[0], e.File)
	require.Positive(t, e.Offset)
	require.True(t, back.Status().Volatile)
	requireSame(t, 50, leader, back)
}

// Guards against an instance that lost its data being counted as its former
// voter, and against it creating a second log.
func TestLostDataDirectoryNeedsAVoterChange(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	propose(t, c.members["b"], 0, 10)
	require.NoError(t, c.members["b"].TransferLeadership(testContext(t), "b"))
	c.members["a"].stop(c.n) // the first instance is the one that created the log
	c.paths["a"] = filepath.Join(t.TempDir(), "data")
	fresh := c.start(t, "a", storage.OS{}, nil)
	ctx := testContext(t)
	leader := c.members["b"]
	await(t, "the leader learns the new storage id", func() bool {
		s := leader.Status().Strangers
		return len(s) == 1 && s[0] == fresh.ID()
	})
	require.NotContains(t, leader.Status().Members.Voters, fresh.ID())

	require.NoError(t, leader.ProposeVoterChange(ctx, VoterChange{Kind: Remove, Instance: "a"}))
	// Proposed on a follower, which forwards it.
	require.NoError(t, c.members["c"].ProposeVoterChange(ctx, VoterChange{Kind: AddVoter, Instance: "a"}))
	require.Contains(t, leader.Status().Members.Voters, fresh.ID())
	requireSame(t, 10, leader, fresh)
	err := leader.ProposeVoterChange(ctx, VoterChange{Kind: Remove, Instance: "nobody"})
	require.ErrorIs(t, err, ErrNotProposed)
}

// Guards against a voter that was removed while it was down and, back with its
// old data, takes itself for a member and stays outside for good.
func TestRemovedVoterReturns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	propose(t, c.members["b"], 0, 10)
	require.NoError(t, c.members["b"].TransferLeadership(testContext(t), "b"))
	leader, ctx := c.members["b"], testContext(t)
	c.members["a"].stop(c.n)
	require.NoError(t, leader.ProposeVoterChange(ctx, VoterChange{Kind: Remove, Instance: "a"}))
	await(t, "what it reported before the log began is forgotten", func() bool { return len(leader.Status().Strangers) == 0 })
	back := c.start(t, "a", storage.OS{}, nil)
	await(t, "the leader hears of the returned instance", func() bool {
		s := leader.Status().Strangers
		return len(s) == 1 && s[0] == back.ID()
	})
	require.NoError(t, leader.ProposeVoterChange(ctx, VoterChange{Kind: AddVoter, Instance: "a"}))
	propose(t, leader, 10, 10)
	requireSame(t, 20, leader, back)
}

// Guards against damaged logs that pass for new ones, so that an instance that
// lost its data creates a second log.
func TestDamagedLogsAreNotNew(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	propose(t, c.members["a"], 0, 1)
	requireSame(t, 1, c.members["a"], c.members["b"], c.members["c"])
	for _, id := range ids {
		c.members[id].stop(c.n)
		files, err := filepath.Glob(filepath.Join(c.paths[id], "global", "*.snapshot"))
		require.NoError(t, err)
		require.NoError(t, os.Truncate(files[0], 5))
	}
	c.paths["a"] = filepath.Join(t.TempDir(), "data")
	for _, id := range ids {
		c.start(t, id, storage.OS{}, nil)
	}
	fresh := c.members["a"]
	await(t, "the others have answered", func() bool { return len(fresh.Status().Strangers) == 2 })
	require.Empty(t, fresh.Status().Members.Voters)
}

// Guards against a replica without a disk that votes or that cannot follow.
func TestLearnerWithoutDisk(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	leader, _ := c.leader(t)
	propose(t, leader, 0, 10)
	learner := startMember(t, c.n, "d", "", nil, nil)
	ctx := testContext(t)
	await(t, "the leader hears of the learner", func() bool { return len(leader.Status().Strangers) == 1 })
	require.NoError(t, leader.ProposeVoterChange(ctx, VoterChange{Kind: AddLearner, Instance: "d"}))
	requireSame(t, 10, leader, learner)
	_, err := learner.Propose(ctx, []byte("from the learner"))
	require.NoError(t, err)
	short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	err = leader.ProposeVoterChange(short, VoterChange{Kind: AddVoter, Instance: "d"})
	require.Error(t, err, "a replica without a disk must not become a voter")
	require.NotContains(t, leader.Status().Members.Voters, learner.ID())
}

// Guards against wrong claims about what became of a command.
func TestOutcomesWithoutAMajority(t *testing.T) {
	t.Parallel()
	// The long timeout keeps the cut leader in office while it is asked.
	c := newCluster(t, func(o *Options) {
		o.LeaderWait, o.ElectionTimeout = 100*time.Millisecond, 1500*time.Millisecond
	})
	leader, others := c.leader(t)
	propose(t, leader, 0, 1)
	c.n.setCut(leader.o.ID, true)
	ctx, cancel := context.WithTimeout(testContext(t), 500*time.Millisecond)
	defer cancel()
	_, err := leader.Propose(ctx, []byte("in the log, but not committed"))
	require.ErrorIs(t, err, ErrUnknownResult)
	require.Equal(t, fault.Unknown, fault.OutcomeOf(err))
	await(t, "the cut leader steps down", func() bool { return !leader.Status().Leads() })
	_, err = leader.Propose(testContext(t), []byte("nowhere to go"))
	require.ErrorIs(t, err, ErrNotProposed)
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
	short, cancel := context.WithTimeout(testContext(t), 100*time.Millisecond)
	defer cancel()
	require.Error(t, leader.Barrier(short), "a cut leader must not serve linearizable reads")

	await(t, "the majority elects another leader", func() bool { return others[0].Status().Leads() || others[1].Status().Leads() })
	current, _ := c.leader(t)
	propose(t, current, 1, 1)
	c.n.setCut(leader.o.ID, false)
	requireSame(t, 2, current, leader)
}

// Guards against settings that revert: what a member has applied must be
// applied again after its restart while no other member can be reached.
func TestSyncedCommitNeedsNoLeader(t *testing.T) {
	t.Parallel()
	synced := func(o *Options) { o.SyncCommit = true }
	c := newCluster(t, synced)
	propose(t, c.members["a"], 0, 5)
	requireSame(t, 5, c.members["a"], c.members["b"], c.members["c"])
	for _, id := range ids {
		c.members[id].stop(c.n)
	}
	alone := c.start(t, "b", storage.OS{}, synced)
	await(t, "the entries are applied", func() bool { return len(alone.machine.list()) == 5 })
}
