package operator

import (
	"context"

	"github.com/bluebellfield/bluebellfield/globalstate"
	"github.com/bluebellfield/bluebellfield/settings"
)

// MachineReader is a Reader of the settings in this daemon's state machine of the
// global log.
type MachineReader struct{ Machine *globalstate.Machine }

// Tree implements Reader.
func (m MachineReader) Tree(context.Context) (*settings.Tree, error) { return m.Machine.Tree(), nil }

// TreeAt implements Reader.
func (m MachineReader) TreeAt(_ context.Context, revision uint64) (*settings.Tree, error) {
	return m.Machine.TreeAt(revision)
}

// History implements Reader.
func (m MachineReader) History(_ context.Context, after uint64) ([]settings.Record, error) {
	return m.Machine.History(after), nil
}

// Diff implements Reader.
func (m MachineReader) Diff(_ context.Context, from, to uint64) ([]settings.Difference, error) {
	return m.Machine.Diff(from, to)
}

// Rollback implements Reader.
func (m MachineReader) Rollback(_ context.Context, revision uint64) ([]settings.Op, uint64, error) {
	return m.Machine.Rollback(revision)
}
