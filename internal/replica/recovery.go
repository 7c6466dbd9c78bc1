package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/consensus"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// storageRetryInterval is the time between two attempts to use a failed disk
// again.
const storageRetryInterval = 500 * time.Millisecond

// scheduleRecovery schedules the next attempt to use the failed storage. Damaged
// files, and a state machine that could not be restored, do not recover by
// themselves.
func (r *Replica) scheduleRecovery(now time.Time) {
	r.nextRecovery = time.Time{}
	if r.store != nil && !r.restoreFailed && storage.CodeOf(r.storageErr) != storage.Damaged {
		r.nextRecovery = now.Add(storageRetryInterval)
	}
}

// recoverStorage opens the log again after a storage failure and continues like a
// restarted process: with a node that has only the durable state. It keeps every
// promise that this member made while it voted, because those were durable
// before they were sent. The state machine keeps its state, so that readers see
// no earlier one; entries that it has are skipped until the node has caught up.
func (r *Replica) recoverStorage(now time.Time) {
	if r.nextRecovery.IsZero() || now.Before(r.nextRecovery) {
		return
	}
	r.scheduleRecovery(now)
	if r.snapshots.running {
		// The writer uses the storage that would be replaced.
		return
	}
	store, st, err := r.opts.Dir.ReopenLog(r.store, r.opts.Log)
	if err != nil {
		r.storageErr = err
		r.scheduleRecovery(now)
		r.opts.Logger.Debug("log storage does not work yet", zap.Error(err))
		return
	}
	if err := r.rebuildNode(now, store, st); err != nil {
		r.restoreFailed, r.nextRecovery, r.storageErr = true, time.Time{}, err
		r.opts.Logger.Error("restoring the state from the log storage failed; this instance does not vote", zap.Error(err))
		return
	}
	r.opts.Logger.Info("log storage works again; this instance may vote",
		zap.Uint64("lastIndex", r.node.Status().LastIndex), zap.Uint64("applied", r.applied.Load()))
}

// rebuildNode replaces the node by one that starts from stored state.
func (r *Replica) rebuildNode(now time.Time, store *storage.Log, st consensus.Persisted) error {
	r.store = store
	r.id.Storage = store.StorageID()
	r.cfg.ID, r.cfg.Volatile = r.id, false
	node, err := consensus.New(r.cfg, st, now)
	if err != nil {
		return err
	}
	if err := r.restoreFromDisk(st); err != nil {
		return err
	}
	for id, b := range r.reads {
		delete(r.reads, id)
		b.finish(errReadFailed)
	}
	r.node, r.hardState, r.hardStateUnsaved = node, st.Hard, false
	r.storageErr, r.nextRecovery = nil, time.Time{}
	r.download, r.nextHello = nil, time.Time{}
	return nil
}
