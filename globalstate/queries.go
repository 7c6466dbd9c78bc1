package globalstate

import (
	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Tree returns the newest revision of the settings.
func (m *Machine) Tree() *settings.Tree { return m.tree.Load() }

// Index returns the index of the last command applied.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Since returns the settings records that lead from a revision to the newest
// one, and false when they are no longer kept.
func (m *Machine) Since(revision uint64) ([]settings.Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Since(revision)
}

// History returns the accepted settings changes after a revision, as far back
// as they are kept.
func (m *Machine) History(after uint64) []settings.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.History(after)
}

// TreeAt returns an earlier revision of the settings.
func (m *Machine) TreeAt(revision uint64) (*settings.Tree, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.TreeAt(revision)
}

// Diff lists what differs between two revisions of the settings.
func (m *Machine) Diff(a, b uint64) ([]settings.Difference, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Diff(a, b)
}

// Rollback returns the ops of a change that restores an earlier revision, and
// the revision that the change must have as its base.
func (m *Machine) Rollback(revision uint64) (ops []settings.Op, base uint64, err error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	ops, err = m.store.Rollback(revision)
	return ops, m.store.Revision(), err
}

// Lookup returns the claim of a key.
func (m *Machine) Lookup(key claim.Key) (claim.Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Lookup(key)
}

// ClaimStats counts the claims.
func (m *Machine) ClaimStats() claim.Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Stats()
}
