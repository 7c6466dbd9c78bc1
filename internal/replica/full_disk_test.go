package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// fullDisk refuses writes while it is full. A write fails after some of its bytes, as
// on a disk on which little room is left.
type fullDisk struct {
	storage.OS
	mu   sync.Mutex
	full bool
	// room is the number of bytes that each write still stores.
	room int
	// refuseCreate and refuseTruncate make a full disk refuse new files and changes
	// of lengths too.
	refuseCreate, refuseTruncate bool
}

type fullDiskFile struct {
	storage.File
	disk *fullDisk
}

// fill makes the disk full in a way that is drawn by lot.
func (d *fullDisk) fill(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.room = true, []int{0, 1, 10, 30, 200}[random.IntN(5)]
	d.refuseCreate, d.refuseTruncate = random.IntN(2) == 0, random.IntN(2) == 0
}

func (d *fullDisk) empty() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = false
}

// refuses reports whether the disk is full and refuses a kind of operation.
func (d *fullDisk) refuses(kind *bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full && *kind
}

func (d *fullDisk) Create(path string) (storage.File, error) {
	if d.refuses(&d.refuseCreate) {
		return nil, syscall.ENOSPC
	}
	file, err := d.OS.Create(path)
	return fullDiskFile{file, d}, err
}

func (d *fullDisk) Append(path string) (storage.File, error) {
	file, err := d.OS.Append(path)
	return fullDiskFile{file, d}, err
}

func (f fullDiskFile) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	full, room := f.disk.full, f.disk.room
	f.disk.mu.Unlock()
	if !full {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:min(room, len(b))])
	if err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

func (f fullDiskFile) Truncate(size int64) error {
	if f.disk.refuses(&f.disk.refuseTruncate) {
		return syscall.ENOSPC
	}
	return f.File.Truncate(size)
}

// Guards against a log that accepts no commands long after the disks of its members
// were full in turn, and against losing what was acknowledged meanwhile. Members are
// killed and restarted at times, and entries are compacted.
func TestDisksFullInTurn(t *testing.T) {
	t.Parallel()
	seeds := uint64(6)
	if n, err := strconv.ParseUint(os.Getenv("BLUEBELLFIELD_SOAK_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			fillDisksInTurn(t, rand.New(rand.NewPCG(seed, 38)))
		})
	}
}

func fillDisksInTurn(t *testing.T, random *rand.Rand) {
	adjust := func(o *Options) { o.SnapshotEntries = 15 + random.IntN(40) }
	c := &cluster{net: newNetwork(), paths: map[string]string{}, members: map[string]*member{}}
	disks := map[string]*fullDisk{}
	for _, id := range voterIDs {
		disks[id] = &fullDisk{}
		c.paths[id] = filepath.Join(t.TempDir(), "data")
		c.start(t, id, disks[id], adjust)
	}
	c.leader(t)
	commands := &commandSource{acknowledged: map[string]bool{}}
	for range 6 {
		id := voterIDs[random.IntN(len(voterIDs))]
		disks[id].fill(random)
		commands.propose(c, random, time.Duration(200+random.IntN(1200))*time.Millisecond)
		if random.IntN(4) == 0 {
			c.members[id].stop(c.net)
			disks[id].empty()
			c.start(t, id, disks[id], adjust)
		}
		disks[id].empty()
		// Two members are never without a disk at the same time.
		waitFor(t, "the member votes", func() bool { return !c.members[id].Status().Volatile })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, id := range voterIDs {
		_, err := c.members[id].Propose(ctx, []byte("last at "+id))
		require.NoError(t, err, id)
	}
	for _, id := range voterIDs {
		require.NoError(t, c.members[id].Barrier(ctx), id)
		recorded := map[string]int{}
		for _, command := range c.members[id].machine.recorded() {
			recorded[command]++
		}
		for command := range commands.acknowledged {
			require.Equal(t, 1, recorded[command], "%s at %s", command, id)
		}
	}
	require.NotEmpty(t, commands.acknowledged)
}

// commandSource proposes commands and remembers those that were acknowledged.
type commandSource struct {
	mu           sync.Mutex
	next         int
	acknowledged map[string]bool
}

// propose proposes commands at all members for a time.
func (s *commandSource) propose(c *cluster, random *rand.Rand, d time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.next++
		command, m := fmt.Sprint("command ", s.next), c.members[voterIDs[random.IntN(len(voterIDs))]]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if _, err := m.Propose(ctx, []byte(command)); err == nil {
				s.mu.Lock()
				s.acknowledged[command] = true
				s.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// gatedDisk holds back the next creation of a file with a suffix, and the next sync of
// a file, until their gates are closed. It closes a channel when one of them waits.
type gatedDisk struct {
	storage.OS
	mu      sync.Mutex
	suffix  string
	created chan struct{}
	create  chan struct{}
	sync    chan struct{}
	syncing chan struct{}
}

type gatedFile struct {
	storage.File
	disk *gatedDisk
}

func (d *gatedDisk) Create(path string) (storage.File, error) {
	d.mu.Lock()
	gate, started := d.create, d.created
	if gate != nil && strings.Contains(path, d.suffix) {
		d.created, d.create = nil, nil
	} else {
		gate = nil
	}
	d.mu.Unlock()
	if gate != nil {
		close(started)
		<-gate
	}
	file, err := d.OS.Create(path)
	return gatedFile{file, d}, err
}

func (f gatedFile) Sync() error {
	f.disk.mu.Lock()
	gate, started := f.disk.sync, f.disk.syncing
	f.disk.sync, f.disk.syncing = nil, nil
	f.disk.mu.Unlock()
	if gate != nil {
		close(started)
		<-gate
	}
	return f.File.Sync()
}

// Guards against a replica that takes no snapshot anymore, and whose storage is never
// used again after a failure, because its queue was full when a snapshot was written.
func TestSnapshotEndsWhileTheQueueIsFull(t *testing.T) {
	t.Parallel()
	disk := &gatedDisk{suffix: ".snapshot"}
	m := startMember(t, newNetwork(), "a", filepath.Join(t.TempDir(), "data"), disk, func(o *Options) {
		o.Voters, o.SnapshotEntries = []string{"a"}, 10
	})
	waitFor(t, "the sole voter leads", func() bool { return m.Status().IsLeader() })
	first := m.Status().SnapshotIndex
	started, writeSnapshot := make(chan struct{}), make(chan struct{})
	disk.mu.Lock()
	disk.created, disk.create = started, writeSnapshot
	disk.mu.Unlock()
	proposeCommands(t, m, 0, 12)
	<-started

	syncs := make(chan struct{})
	syncing := make(chan struct{})
	disk.mu.Lock()
	disk.sync, disk.syncing = syncs, syncing
	disk.mu.Unlock()
	proposed := make(chan error, 1)
	go func() {
		_, err := m.Propose(testContext(t), []byte("blocks the loop"))
		proposed <- err
	}()
	<-syncing
	for m.submit(func(time.Time, bool) {}) {
	}
	close(writeSnapshot)
	written := make(chan struct{})
	go func() {
		defer close(written)
		m.snapshots.writers.Wait()
	}()
	select {
	case <-written:
	case <-time.After(100 * time.Millisecond):
		// The writer may wait until its result is taken.
	}
	close(syncs)
	require.NoError(t, <-proposed)
	waitFor(t, "the log is compacted", func() bool { return m.Status().SnapshotIndex > first })
}
