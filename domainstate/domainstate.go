// Package domainstate implements the state machine of a domain log. It holds the
// replica groups of a failure domain, the copy of the settings that the daemons in
// that failure domain use, and the verdicts on requests that crash upstreams.
package domainstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

// version is the first byte of every command and snapshot.
const version = 1

// kind is the second byte of a command.
type kind byte

const (
	kindRecords kind = iota + 1
	kindTree
	kindGroup
	kindVerdicts
)

// ErrUnknownCommand is returned for a command with an unknown version or kind,
// such as one from a newer daemon.
var ErrUnknownCommand = errors.New("unknown command of the domain log")

// Machine is the state machine. Apply and Restore must be called from a single
// goroutine; queries may be called concurrently.
type Machine struct {
	mu     sync.Mutex
	groups *group.State
	// published is an immutable copy of groups for queries.
	published atomic.Pointer[group.State]
	tree      atomic.Pointer[settings.Tree]
	verdicts  atomic.Pointer[quarantine.Stored]
	// records holds the latest settings changes, so that followers that are
	// slightly behind need no full tree. It is not part of the snapshot.
	records []settings.Record
}

// maxRecords limits the records held in memory.
const maxRecords = 1000

// New returns a machine with empty state.
func New() *Machine {
	m := &Machine{groups: group.NewState()}
	m.published.Store(group.NewState())
	m.tree.Store(settings.Empty())
	m.verdicts.Store(&quarantine.Stored{})
	return m
}

// Tree returns the newest revision of the settings in the log.
func (m *Machine) Tree() *settings.Tree { return m.tree.Load() }

// Since returns the settings records after a revision. It returns false if they
// are no longer retained.
func (m *Machine) Since(revision uint64) ([]settings.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.tree.Load().Revision()
	missing := newest - min(revision, newest)
	if missing > uint64(len(m.records)) {
		return nil, false
	}
	return slices.Clone(m.records[uint64(len(m.records))-missing:]), true
}

// Groups returns the replica groups. The caller must not modify the result.
func (m *Machine) Groups() *group.State { return m.published.Load() }

// Verdicts returns the stored verdicts. The caller must not modify the result.
func (m *Machine) Verdicts() *quarantine.Stored { return m.verdicts.Load() }

// EncodeRecords encodes the command that applies settings records.
func EncodeRecords(records []settings.Record) ([]byte, error) { return encode(kindRecords, records) }

// EncodeTree encodes the command that replaces the settings with a newer tree.
func EncodeTree(tree *settings.Tree) ([]byte, error) { return encode(kindTree, tree) }

// EncodeGroup encodes a command that changes a replica group.
func EncodeGroup(c group.Command) ([]byte, error) { return encode(kindGroup, c) }

// verdictsCommand adds verdicts. The time is that of the proposer, so that all
// replicas remove the same verdicts.
type verdictsCommand struct {
	Now      time.Time            `json:"now"`
	Verdicts []quarantine.Verdict `json:"verdicts"`
}

// EncodeVerdicts encodes the command that adds verdicts and removes those that
// have ended.
func EncodeVerdicts(now time.Time, verdicts []quarantine.Verdict) ([]byte, error) {
	return encode(kindVerdicts, verdictsCommand{Now: now, Verdicts: verdicts})
}

func encode(k kind, payload any) ([]byte, error) {
	data, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	return append([]byte{version, byte(k)}, data...), nil
}

// result is the encoded result of a command.
type result struct {
	Error string        `json:"error,omitempty"`
	Group *group.Result `json:"group,omitempty"`
}

// DecodeResult decodes the result of a command. It returns an error if the
// command was not applied, and the zero group.Result for settings commands.
func DecodeResult(data []byte) (group.Result, error) {
	var r result
	if err := json.Unmarshal(data, &r); err != nil {
		return group.Result{}, fmt.Errorf("decode result of the domain log: %w", err)
	}
	if r.Error != "" {
		return group.Result{}, errors.New(r.Error)
	}
	if r.Group == nil {
		return group.Result{}, nil
	}
	return *r.Group, nil
}

// Apply executes a committed command.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, err := m.apply(command)
	if err != nil {
		r = result{Error: err.Error()}
	}
	// Marshal cannot fail: result contains only strings and numbers.
	data, _ := json.Marshal(r)
	return data
}

func (m *Machine) apply(command []byte) (result, error) {
	if len(command) < 2 || command[0] != version {
		return result{}, ErrUnknownCommand
	}
	switch payload := command[2:]; kind(command[1]) {
	case kindRecords:
		return result{}, m.applyRecords(payload)
	case kindTree:
		return result{}, m.replaceTree(payload)
	case kindGroup:
		return m.applyGroupCommand(payload)
	case kindVerdicts:
		return result{}, m.addVerdicts(payload)
	}
	return result{}, ErrUnknownCommand
}

// applyRecords applies the records that follow the current revision. It skips
// older records as duplicates and rejects all records on a gap, so that the
// settings never revert and never skip a change.
func (m *Machine) applyRecords(payload []byte) error {
	var records []settings.Record
	if err := json.Unmarshal(payload, &records); err != nil {
		return err
	}
	tree, applied, err := m.tree.Load().AdvanceAll(records)
	if err != nil {
		return err
	}
	m.records = append(m.records, applied...)
	m.records = slices.Delete(m.records, 0, max(len(m.records)-maxRecords, 0))
	m.tree.Store(tree)
	return nil
}

func (m *Machine) replaceTree(payload []byte) error {
	tree, err := settings.DecodeTree(payload)
	if err != nil {
		return err
	}
	if tree.Revision() > m.tree.Load().Revision() {
		m.tree.Store(tree)
		m.records = nil
	}
	return nil
}

func (m *Machine) addVerdicts(payload []byte) error {
	var c verdictsCommand
	if err := json.Unmarshal(payload, &c); err != nil {
		return err
	}
	merged := m.verdicts.Load().Merge(c.Now, c.Verdicts)
	m.verdicts.Store(&merged)
	return nil
}

func (m *Machine) applyGroupCommand(payload []byte) (result, error) {
	c, err := group.DecodeCommand(payload)
	if err != nil {
		return result{}, err
	}
	r := m.groups.Apply(c)
	if r.Code == group.Applied {
		m.published.Store(m.groups.Clone())
	}
	return result{Group: &r}, nil
}

// snapshot is the JSON encoding of the state.
type snapshot struct {
	Version int             `json:"version"`
	Groups  json.RawMessage `json:"groups"`
	Tree    json.RawMessage `json:"settings"`
	// Verdicts is absent in snapshots of daemons that stored none.
	Verdicts quarantine.Stored `json:"verdicts"`
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups, err := m.groups.Snapshot()
	if err != nil {
		return nil, err
	}
	tree, err := json.Marshal(m.tree.Load())
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshot{Version: version, Groups: groups, Tree: tree, Verdicts: *m.verdicts.Load()})
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("snapshot of the domain log: %w", err)
	}
	if s.Version != version {
		return fmt.Errorf("snapshot of the domain log has version %d, accepted: %d", s.Version, version)
	}
	groups := group.NewState()
	if err := groups.Restore(s.Groups); err != nil {
		return err
	}
	tree, err := settings.DecodeTree(s.Tree)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.groups, m.records = groups, nil
	m.published.Store(groups.Clone())
	m.tree.Store(tree)
	m.verdicts.Store(&s.Verdicts)
	return nil
}
