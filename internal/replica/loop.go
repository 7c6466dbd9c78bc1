package replica

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/consensus/wire"
)

// run is the replica's main loop. The messages and requests that arrive during
// one iteration are handled together in the next and share one sync.
func (r *Replica) run() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		inbox, requests, closed := r.takeQueued()
		// The clock is read after the messages are taken. A contact dated before
		// the leader sent its message would let this member vote for another
		// leader while the first one's lease is still valid.
		now := r.opts.Clock()
		if closed {
			r.shutDown(requests)
			return
		}
		for _, m := range inbox {
			r.handleInbound(now, m)
		}
		for _, f := range requests {
			f(now, false)
		}
		r.node.Tick(now)
		r.sendHellos(now)
		r.processOutputs()
		r.recoverStorage(now)
		r.dropIdleTransfers(now)
		r.publishStatus()
		timer.Reset(r.nextDeadline().Sub(r.opts.Clock()))
		select {
		case <-r.wakeups:
		case <-timer.C:
		}
	}
}

func (r *Replica) takeQueued() ([]inbound, []request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inbox, requests := r.inbox, r.requests
	r.inbox, r.inboxBytes, r.requests = nil, 0, nil
	return inbox, requests, r.closed
}

func (r *Replica) nextDeadline() time.Time {
	next := r.node.NextDeadline()
	if !r.nextRecovery.IsZero() && r.nextRecovery.Before(next) {
		next = r.nextRecovery
	}
	if !r.nextHello.IsZero() && r.nextHello.Before(next) {
		return r.nextHello
	}
	return next
}

func (r *Replica) shutDown(requests []request) {
	for _, f := range requests {
		f(time.Time{}, true)
	}
	r.failPendingThrough(math.MaxUint64)
	for id, b := range r.reads {
		delete(r.reads, id)
		b.finish(ErrClosed)
	}
	for _, b := range r.waitingBarriers {
		b.finish(ErrClosed)
	}
	r.snapshots.writers.Wait()
	if r.store != nil {
		r.closeErr = r.store.Close()
	}
	r.changed.notify()
}

// processOutputs performs the work of the node's outputs until there is none.
func (r *Replica) processOutputs() {
	for {
		out := r.node.Ready()
		if out.Empty() {
			return
		}
		r.sendAll(out.Appends)
		if r.save(out) {
			r.sendAll(out.Messages)
		}
		if out.Snapshot != nil {
			r.restore(*out.Snapshot)
		}
		r.apply(out.Committed)
		r.completeReads(out.Reads)
		r.node.Advance(out)
		r.maybeTakeSnapshot()
	}
}

// save makes an output durable and reports whether its messages may be sent. A
// change of only the commit index is stored with the next entries, unless
// SyncCommit is set.
func (r *Replica) save(out consensus.Output) bool {
	r.hardState = out.Hard
	if r.store == nil || r.storageErr != nil {
		return true
	}
	r.hardStateUnsaved = r.hardStateUnsaved || out.HardChanged
	if !out.MustSync && !(r.opts.SyncCommit && r.hardStateUnsaved) {
		return true
	}
	out.HardChanged = r.hardStateUnsaved
	if err := r.store.Save(out); err != nil {
		r.handleStorageFailure(err)
		return false
	}
	r.hardStateUnsaved = false
	return true
}

// handleStorageFailure stops voting. The replica continues to replicate the log
// in memory, so that its state can be read and stays current.
func (r *Replica) handleStorageFailure(err error) {
	if r.storageErr != nil {
		return
	}
	r.storageErr = err
	r.scheduleRecovery(r.opts.Clock())
	r.opts.Logger.Error("log storage failed; this instance stops voting", zap.Error(err))
	r.node.StopVoting(r.opts.Clock())
}

func (r *Replica) sendAll(messages []consensus.Message) {
	for _, m := range messages {
		r.sendEnvelope(m.To.Instance, &Envelope{Body: &Envelope_Message{Message: wire.Encode(m)}})
	}
}

func (r *Replica) sendEnvelope(to string, e *Envelope) {
	data, err := proto.Marshal(e)
	if err != nil {
		r.opts.Logger.Error("encoding a message failed", zap.String("peer", to), zap.Error(err))
		return
	}
	r.opts.Transport.Send(to, r.opts.Log, data)
}

func (r *Replica) handleInbound(now time.Time, in inbound) {
	var e Envelope
	if err := proto.Unmarshal(in.data, &e); err != nil {
		r.opts.Logger.Warn("decoding a message failed", zap.String("peer", in.from), zap.Error(err))
		return
	}
	switch body := e.Body.(type) {
	case *Envelope_Message:
		r.stepNode(now, wire.Decode(in.from, r.opts.ID, body.Message))
	case *Envelope_Hello:
		r.handleHello(now, in.from, body.Hello)
	case *Envelope_Pull:
		r.handlePull(now, in.from, body.Pull)
	case *Envelope_Chunk:
		r.handleChunk(now, in.from, body.Chunk)
	}
}

func (r *Replica) stepNode(now time.Time, m consensus.Message) {
	if m.Type == consensus.MsgSnapshot {
		if m.Snapshot == nil {
			return
		}
		m = r.handleSnapshotOffer(now, m)
	}
	err := r.node.Step(now, m)
	switch {
	case errors.Is(err, consensus.ErrMisaddressed):
		r.opts.Logger.Debug("message is addressed to another storage id", zap.Stringer("peer", m.From))
	case err != nil:
		r.opts.Logger.Error("message conflicts with the log", zap.Stringer("peer", m.From), zap.Error(err))
	}
}

// apply applies committed entries to the state machine and completes the
// proposals that wait for them.
func (r *Replica) apply(entries []consensus.Entry) {
	if len(entries) == 0 || r.restoreFailed {
		return
	}
	applied := r.applied.Load()
	for _, e := range entries {
		if e.Index <= applied {
			// The state machine is ahead of a node that was rebuilt from the disk.
			continue
		}
		var result []byte
		if e.Kind == consensus.EntryCommand {
			result = r.opts.Machine.Apply(e.Index, e.Data)
		}
		r.snapshots.entries++
		r.snapshots.bytes += len(e.Data)
		r.completeProposals(e, result)
		if e.Kind == consensus.EntryNoOp {
			r.failEarlierTerms(e.Term)
		}
	}
	if last := entries[len(entries)-1].Index; last > applied {
		r.advanceApplied(last)
	}
}

// completeProposals completes the proposals for the index of a committed entry.
// A proposal of another term can no longer be committed; until now, a later
// leader could still have had its entry.
func (r *Replica) completeProposals(e consensus.Entry, result []byte) {
	for _, p := range r.pending[e.Index] {
		if p.term == e.Term {
			p.finish(result, nil)
			continue
		}
		p.finish(nil, notProposed(errSuperseded))
	}
	delete(r.pending, e.Index)
}

// failEarlierTerms fails the pending proposals of terms before one that has a
// committed entry. Terms never decrease along the log, so their entries, at
// higher indexes, can never be committed. Without this, the callers of a deposed
// leader would wait until the new leader's log reaches the same index.
func (r *Replica) failEarlierTerms(term uint64) {
	for index, proposals := range r.pending {
		r.pending[index] = slices.DeleteFunc(proposals, func(p *proposal) bool {
			if p.term >= term {
				return false
			}
			p.finish(nil, notProposed(errSuperseded))
			return true
		})
		if len(r.pending[index]) == 0 {
			delete(r.pending, index)
		}
	}
}

// failPendingThrough fails the proposals up to an index with ErrUnknownResult,
// because their entries will not be applied here one by one.
func (r *Replica) failPendingThrough(through uint64) {
	for index, proposals := range r.pending {
		if index > through {
			continue
		}
		for _, p := range proposals {
			p.finish(nil, ErrUnknownResult)
		}
		delete(r.pending, index)
	}
}

// advanceApplied publishes the applied index and completes the barriers that
// waited for it.
func (r *Replica) advanceApplied(index uint64) {
	r.applied.Store(index)
	r.waitingBarriers = slices.DeleteFunc(r.waitingBarriers, func(b *barrier) bool {
		if b.index > index {
			return false
		}
		b.finish(nil)
		return true
	})
	if r.opts.OnApplied != nil {
		r.opts.OnApplied(index)
	}
}

func (r *Replica) restore(s consensus.Snapshot) {
	if s.Meta.Index <= r.applied.Load() {
		// The node was rebuilt from the disk and lags behind the state machine.
		r.download = nil
		return
	}
	if err := r.opts.Machine.Restore(s.Data); err != nil {
		// The state lacks entries that the log no longer has, so later ones
		// cannot be applied to it.
		r.restoreFailed = true
		r.handleStorageFailure(fmt.Errorf("restore snapshot %d: %w", s.Meta.Index, err))
		return
	}
	r.snapshots.entries, r.snapshots.bytes, r.snapshots.lastSize = 0, 0, len(s.Data)
	r.failPendingThrough(s.Meta.Index)
	r.failEarlierTerms(s.Meta.Term)
	r.download = nil
	r.advanceApplied(s.Meta.Index)
}

// publishStatus publishes the current status and notifies the waiters of Watch
// if it changed. It also drops expired reports of instances outside the log.
func (r *Replica) publishStatus() {
	s := &Status{Status: r.node.Status(), StorageError: r.storageErr}
	for instance, other := range r.nonMembers {
		if r.opts.Clock().Sub(other.reportedAt) > nonMemberExpiry {
			delete(r.nonMembers, instance)
			continue
		}
		id := consensus.NodeID{Instance: instance, Storage: other.storage}
		if !slices.Contains(s.Members.Voters, id) && !slices.Contains(s.Members.Learners, id) {
			s.NonMembers = append(s.NonMembers, id)
		}
	}
	slices.SortFunc(s.NonMembers, func(a, b consensus.NodeID) int { return strings.Compare(a.Instance, b.Instance) })
	old := r.status.Swap(s)
	if old == nil {
		return
	}
	if old.Leader != s.Leader || old.Role != s.Role {
		r.opts.Logger.Info("leadership changed", zap.Stringer("role", s.Role), zap.Stringer("leader", s.Leader), zap.Uint64("term", s.Term))
	}
	if old.Applied != s.Applied || old.Leader != s.Leader || old.Role != s.Role {
		r.changed.notify()
	}
}
