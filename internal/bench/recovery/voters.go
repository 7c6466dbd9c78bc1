package recovery

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/internal/cluster"
	"github.com/bluebellfield/bluebellfield/internal/replica"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

const (
	logName      = "global"
	electionWait = 30 * time.Second
	queueLength  = 4096
)

// voterIDs are the voters of the log.
var voterIDs = []string{"v1", "v2", "v3"}

// voters are three replicas of the global log with synced files and messages
// passed inside the process.
type voters struct {
	folder string
	mu     sync.Mutex
	up     map[string]*voter
}

type voter struct {
	*replica.Replica
	machine *globalstate.Machine
	dir     *storage.Dir
	inbox   chan message
	quit    chan struct{}
	done    sync.WaitGroup
}

type message struct {
	from string
	data []byte
}

// outlet is the transport of one voter.
type outlet struct {
	all  *voters
	from string
}

// Send implements replica.Transport.
func (o outlet) Send(to, _ string, data []byte) {
	v := o.all.get(to)
	if v == nil {
		return
	}
	select {
	case v.inbox <- message{o.from, data}:
	default:
	}
}

func startVoters(folder string) (*voters, error) {
	all := &voters{folder: folder, up: map[string]*voter{}}
	for _, id := range voterIDs {
		if _, err := all.start(id); err != nil {
			return nil, errors.Join(err, all.close())
		}
	}
	return all, nil
}

func (all *voters) get(id string) *voter {
	all.mu.Lock()
	defer all.mu.Unlock()
	return all.up[id]
}

func (all *voters) start(id string) (*voter, error) {
	dir, err := storage.OpenDir(storage.OS{}, filepath.Join(all.folder, id))
	if err != nil {
		return nil, err
	}
	v := &voter{machine: globalstate.New(), dir: dir, inbox: make(chan message, queueLength), quit: make(chan struct{})}
	v.Replica, err = replica.Open(replica.Options{
		Log: logName, ID: id, Dir: dir, Voters: voterIDs, Transport: outlet{all, id}, Machine: v.machine, SyncCommit: true,
		Forward: func(ctx context.Context, leader, _ string, command []byte) ([]byte, error) {
			l := all.get(leader)
			if l == nil {
				return nil, fmt.Errorf("%w: %s is down", replica.ErrNotProposed, leader)
			}
			return l.HandleForward(ctx, command), nil
		},
	})
	if err != nil {
		return nil, errors.Join(err, dir.Close())
	}
	v.done.Go(v.deliver)
	all.mu.Lock()
	defer all.mu.Unlock()
	all.up[id] = v
	return v, nil
}

func (v *voter) deliver() {
	for {
		select {
		case m := <-v.inbox:
			v.Receive(m.from, m.data)
		case <-v.quit:
			return
		}
	}
}

func (all *voters) stop(id string) error {
	all.mu.Lock()
	v := all.up[id]
	delete(all.up, id)
	all.mu.Unlock()
	if v == nil {
		return nil
	}
	close(v.quit)
	v.done.Wait()
	return errors.Join(v.Close(), v.dir.Close())
}

func (all *voters) close() error {
	var errs []error
	for _, id := range voterIDs {
		errs = append(errs, all.stop(id))
	}
	return errors.Join(errs...)
}

// leader waits for a leader and returns its id.
func (all *voters) leader() (id string, err error) {
	return id, cluster.WaitFor(electionWait, "the election of a leader", func() bool {
		for _, candidate := range voterIDs {
			if v := all.get(candidate); v != nil && v.Status().Leads() {
				id = candidate
				return true
			}
		}
		return false
	})
}
