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
	logName         = "global"
	electionTimeout = 30 * time.Second
	inboxLength     = 4096
)

// voterIDs holds the IDs of the voters of the log.
var voterIDs = []string{"v1", "v2", "v3"}

// voterSet runs the replicas of the global log with synced files. They exchange
// messages within the process.
type voterSet struct {
	folder  string
	mu      sync.Mutex
	running map[string]*voter
}

type voter struct {
	*replica.Replica
	machine *globalstate.Machine
	dir     *storage.Dir
	inbox   chan message
	stop    chan struct{}
	done    sync.WaitGroup
}

type message struct {
	from string
	data []byte
}

// inProcessTransport delivers the messages of one voter to the inboxes of the
// others.
type inProcessTransport struct {
	voters *voterSet
	sender string
}

// Send implements replica.Transport. It drops the message if the target is down
// or its inbox is full.
func (t inProcessTransport) Send(to, _ string, data []byte) {
	target := t.voters.get(to)
	if target == nil {
		return
	}
	select {
	case target.inbox <- message{t.sender, data}:
	default:
	}
}

func startVoters(folder string) (*voterSet, error) {
	s := &voterSet{folder: folder, running: map[string]*voter{}}
	for _, id := range voterIDs {
		if _, err := s.start(id); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

func (s *voterSet) get(id string) *voter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id]
}

func (s *voterSet) start(id string) (*voter, error) {
	dir, err := storage.OpenDir(storage.OS{}, filepath.Join(s.folder, id))
	if err != nil {
		return nil, err
	}
	v := &voter{machine: globalstate.New(), dir: dir, inbox: make(chan message, inboxLength), stop: make(chan struct{})}
	v.Replica, err = replica.Open(replica.Options{
		Log: logName, ID: id, Dir: dir, Voters: voterIDs, Transport: inProcessTransport{s, id}, Machine: v.machine, SyncCommit: true,
		Forward: func(ctx context.Context, leader, _ string, command []byte) ([]byte, error) {
			leaderVoter := s.get(leader)
			if leaderVoter == nil {
				return nil, fmt.Errorf("%w: %s is down", replica.ErrNotProposed, leader)
			}
			return leaderVoter.HandleForward(ctx, command), nil
		},
	})
	if err != nil {
		return nil, errors.Join(err, dir.Close())
	}
	v.done.Go(v.receiveMessages)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = v
	return v, nil
}

func (v *voter) receiveMessages() {
	for {
		select {
		case m := <-v.inbox:
			v.Receive(m.from, m.data)
		case <-v.stop:
			return
		}
	}
}

func (s *voterSet) stop(id string) error {
	s.mu.Lock()
	v := s.running[id]
	delete(s.running, id)
	s.mu.Unlock()
	if v == nil {
		return nil
	}
	close(v.stop)
	v.done.Wait()
	return errors.Join(v.Close(), v.dir.Close())
}

func (s *voterSet) close() error {
	var errs []error
	for _, id := range voterIDs {
		errs = append(errs, s.stop(id))
	}
	return errors.Join(errs...)
}

// leaderID waits for the election of a leader and returns its ID.
func (s *voterSet) leaderID() (id string, err error) {
	return id, cluster.WaitFor(electionTimeout, "election of a leader", func() bool {
		for _, candidate := range voterIDs {
			if v := s.get(candidate); v != nil && v.Status().IsLeader() {
				id = candidate
				return true
			}
		}
		return false
	})
}
