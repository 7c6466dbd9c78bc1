package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/consensus"
)

// ChangeKind identifies the operation of a VoterChange.
type ChangeKind string

// Kinds of voter changes.
const (
	// AddVoter adds a learner, waits until it has caught up and promotes it to a
	// voter.
	AddVoter   ChangeKind = "add-voter"
	AddLearner ChangeKind = "add-learner"
	Remove     ChangeKind = "remove"
)

// VoterChange adds, promotes or removes a member of a log. An instance is added
// with the storage id that it reported last, unless Storage is set.
type VoterChange struct {
	Kind     ChangeKind `json:"kind"`
	Instance string     `json:"instance"`
	Storage  uint64     `json:"storage,omitempty"`
}

// ProposeVoterChange changes a single member and forwards the change to the
// leader if necessary. To remove the leader, transfer leadership first.
func (r *Replica) ProposeVoterChange(ctx context.Context, c VoterChange) error {
	body, err := json.Marshal(c)
	if err != nil {
		return notProposed(err)
	}
	_, err = r.onLeader(ctx, forwardChange, body, func(ctx context.Context) ([]byte, error) {
		return nil, r.changeLocally(ctx, c)
	})
	return err
}

func (r *Replica) changeLocally(ctx context.Context, c VoterChange) error {
	switch c.Kind {
	case AddLearner:
		return r.proposeChange(ctx, c, consensus.AddLearner)
	case Remove:
		return r.proposeChange(ctx, c, consensus.RemoveMember)
	case AddVoter:
		err := r.proposeChange(ctx, c, consensus.AddLearner)
		if err != nil && !errors.Is(err, consensus.ErrAlreadyMember) {
			return err
		}
		return r.promote(ctx, c)
	}
	return notProposed(fmt.Errorf("unknown kind of voter change %q", c.Kind))
}

// promote makes a learner a voter once it has caught up. If the context ends
// before that, the learner remains and the change can be repeated.
func (r *Replica) promote(ctx context.Context, c VoterChange) error {
	for {
		err := r.proposeChange(ctx, c, consensus.PromoteLearner)
		if !errors.Is(err, consensus.ErrNotCaughtUp) {
			return err
		}
		pause := time.NewTimer(retryInterval)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return err
		}
	}
}

func (r *Replica) proposeChange(ctx context.Context, c VoterChange, kind consensus.VoterChangeKind) error {
	_, err := r.proposeLocally(ctx, func(now time.Time) (uint64, uint64, error) {
		if !r.node.IsLeader() {
			return 0, 0, &consensus.NotLeaderError{Leader: r.node.Leader()}
		}
		id, err := r.resolveNode(c)
		if err != nil {
			return 0, 0, err
		}
		return r.node.ProposeVoterChange(now, consensus.VoterChange{Kind: kind, Node: id})
	})
	return err
}

// resolveNode completes an instance with its storage id: the given one, that of
// the member, or the one that the instance reported.
func (r *Replica) resolveNode(c VoterChange) (consensus.NodeID, error) {
	id := consensus.NodeID{Instance: c.Instance, Storage: c.Storage}
	if id.Storage != 0 {
		return id, nil
	}
	members := r.node.Status().Members
	for _, m := range slices.Concat(members.Voters, members.Learners) {
		if m.Instance == c.Instance {
			return m, nil
		}
	}
	if s, ok := r.nonMembers[c.Instance]; ok {
		id.Storage = s.storage
		return id, nil
	}
	return id, fmt.Errorf("instance %q has not reported a storage id", c.Instance)
}

// TransferLeadership transfers leadership to the given voter, or to the most
// up-to-date one if instance is empty, and returns after this leader has
// stepped down.
func (r *Replica) TransferLeadership(ctx context.Context, instance string) error {
	_, err := r.onLeader(ctx, forwardTransfer, []byte(instance), func(ctx context.Context) ([]byte, error) {
		return nil, r.transferLocally(ctx, instance)
	})
	return err
}

func (r *Replica) transferLocally(ctx context.Context, instance string) error {
	result := make(chan error, 1)
	if !r.submit(func(now time.Time, closing bool) {
		if closing {
			result <- ErrClosed
			return
		}
		result <- r.startTransfer(now, instance)
	}) {
		return notProposed(ErrClosed)
	}
	select {
	case err := <-result:
		if err != nil {
			return notProposed(err)
		}
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnknownResult, ctx.Err())
	}
	timeout := time.NewTimer(r.opts.LeaderWait)
	defer timeout.Stop()
	for {
		changed := r.Watch()
		if s := r.Status(); !s.IsLeader() || instance == r.opts.ID {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return notProposed(errors.New("the target did not become leader in time"))
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnknownResult, ctx.Err())
		}
	}
}

func (r *Replica) startTransfer(now time.Time, instance string) error {
	s := r.node.Status()
	if s.Role != consensus.Leader {
		return &consensus.NotLeaderError{Leader: s.Leader}
	}
	var target consensus.NodeID
	var bestMatch uint64
	for _, p := range s.Peers {
		isNamed := p.ID.Instance == instance
		if p.Voter && !p.Volatile && (isNamed || instance == "" && p.Match >= bestMatch) {
			target, bestMatch = p.ID, p.Match
		}
	}
	if instance == r.opts.ID {
		return nil
	}
	if target.IsZero() {
		return consensus.ErrNotMember
	}
	return r.node.TransferLeadership(now, target)
}

// Hello messages exchange the storage ids of the instances that create a log,
// and report to the leader the instances that could be added.
const (
	// helloInterval applies while the replica has no log, slowHelloInterval
	// otherwise.
	helloInterval     = 200 * time.Millisecond
	slowHelloInterval = 2 * time.Second
	// nonMemberExpiry is the time without a report after which an instance
	// outside the log is no longer listed, because a stopped instance must not
	// be added.
	nonMemberExpiry = 3 * slowHelloInterval
)

// sendHellos sends hello messages while this replica is not a member, and also
// while it knows no leader: it may have been removed while it was down, which
// its own data does not show. The first instance of Options.Voters creates the
// log once all the others have reported that they have none. An instance that
// lost its data therefore never creates a second log while another instance has
// the first.
func (r *Replica) sendHellos(now time.Time) {
	members := r.node.Status().Members
	if slices.Contains(members.Voters, r.id) || slices.Contains(members.Learners, r.id) {
		if r.node.Leader() != (consensus.NodeID{}) {
			r.nextHello = time.Time{}
			return
		}
		if r.nextHello.IsZero() {
			// An ordinary election ends before the first hello is due.
			r.nextHello = now.Add(slowHelloInterval)
		}
	}
	if now.Before(r.nextHello) {
		return
	}
	r.nextHello = now.Add(slowHelloInterval)
	if len(members.Voters) == 0 && r.opts.Dir != nil && (slices.Contains(r.opts.Voters, r.opts.ID) || r.opts.Contacts != nil) {
		r.nextHello = now.Add(helloInterval)
	}
	if r.canCreateLog(members) {
		r.createLog(now)
		return
	}
	for _, contact := range r.helloTargets() {
		if contact != r.opts.ID {
			r.sendHello(contact, true)
		}
	}
}

// helloTargets returns the instances that may have the log.
func (r *Replica) helloTargets() []string {
	if r.opts.Contacts == nil {
		return r.opts.Voters
	}
	all := slices.Concat(r.opts.Voters, r.opts.Contacts())
	slices.Sort(all)
	return slices.Compact(all)
}

func (r *Replica) sendHello(to string, ask bool) {
	// A damaged log also has no members in memory, but must not count as absent.
	fresh := len(r.node.Status().Members.Voters) == 0 && r.storageErr == nil && !r.cfg.Volatile
	r.sendEnvelope(to, &Envelope{Body: &Envelope_Hello{Hello: &Hello{Storage: r.id.Storage, Fresh: fresh, Ask: ask}}})
}

func (r *Replica) handleHello(now time.Time, from string, h *Hello) {
	members := r.node.Status().Members
	id := consensus.NodeID{Instance: from, Storage: h.Storage}
	if slices.Contains(members.Voters, id) || slices.Contains(members.Learners, id) {
		delete(r.nonMembers, from)
	} else {
		r.nonMembers[from] = nonMember{h.Storage, now}
	}
	delete(r.uninitialized, from)
	if h.Fresh {
		r.uninitialized[from] = h.Storage
	}
	if h.Ask {
		r.sendHello(from, false)
	}
	if r.canCreateLog(members) {
		r.createLog(now)
	}
}

// canCreateLog reports whether this replica is the first initial voter and all
// the others have reported that they have no log.
func (r *Replica) canCreateLog(members consensus.Members) bool {
	if r.cfg.Volatile || r.storageErr != nil || len(members.Voters) > 0 ||
		len(r.opts.Voters) == 0 || r.opts.Voters[0] != r.opts.ID {
		return false
	}
	for _, voter := range r.opts.Voters {
		if _, ok := r.uninitialized[voter]; !ok && voter != r.opts.ID {
			return false
		}
	}
	return true
}

// createLog stores the initial members as the first snapshot and replaces the
// node by one that starts from it. The other voters receive the snapshot from
// the leader.
func (r *Replica) createLog(now time.Time) {
	meta := consensus.SnapshotMeta{Index: 1, Term: 1}
	for _, voter := range r.opts.Voters {
		id := consensus.NodeID{Instance: voter, Storage: r.uninitialized[voter]}
		if voter == r.opts.ID {
			id = r.id
		}
		meta.Members.Voters = append(meta.Members.Voters, id)
	}
	data, err := r.opts.Machine.Snapshot()
	if err != nil {
		r.opts.Logger.Error("encoding the initial state failed", zap.Error(err))
		return
	}
	if err := r.store.SaveSnapshot(consensus.Snapshot{Meta: meta, Data: data}); err != nil {
		r.handleStorageFailure(err)
		return
	}
	node, err := consensus.New(r.cfg, consensus.Persisted{Hard: r.hardState, Snapshot: meta}, now)
	if err != nil {
		r.opts.Logger.Error("creating the log failed", zap.Error(err))
		return
	}
	r.node, r.nextHello = node, time.Time{}
	r.nonMembers = map[string]nonMember{}
	r.applied.Store(meta.Index)
	r.opts.Logger.Info("log created", zap.Strings("voters", r.opts.Voters))
	r.node.Tick(now)
}
