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

// Since returns the settings records after a revision. It returns false if they
// are no longer retained or if the revision does not exist yet.
func (m *Machine) Since(revision uint64) ([]settings.Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Since(revision)
}

// History returns the retained records of settings changes after a revision.
func (m *Machine) History(after uint64) []settings.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.History(after)
}

// TreeAt reconstructs a retained revision of the settings.
func (m *Machine) TreeAt(revision uint64) (*settings.Tree, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.TreeAt(revision)
}

// Diff returns the differences from revision a to revision b of the settings.
func (m *Machine) Diff(a, b uint64) ([]settings.Difference, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.store.Diff(a, b)
}

// Rollback returns the ops of a change that restores an earlier revision, and
// the base revision of that change.
func (m *Machine) Rollback(revision uint64) (ops []settings.Op, base uint64, err error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	ops, err = m.store.Rollback(revision)
	return ops, m.store.Revision(), err
}

// Lookup returns the claim record of a key.
func (m *Machine) Lookup(key claim.Key) (claim.Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Lookup(key)
}

// ClaimStats returns statistics about the claims.
func (m *Machine) ClaimStats() claim.Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Stats()
}
