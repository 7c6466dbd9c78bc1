// Package deploymentstate is the state machine of the deployment log. Its state
// is the current catalog, stored as the document that the operator sent, the
// latest leader generation, the verdicts on requests that crash upstreams, and the
// recent departures of upstreams.
package deploymentstate

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Machine is the replicated state machine. Apply, Snapshot and Restore must be
// called from a single goroutine; the queries are safe for concurrent use.
type Machine struct {
	mu    sync.RWMutex
	state *State
	// verdictChanges counts the changes of the verdicts.
	verdictChanges uint64
	// departures is part of the state only in snapshots.
	departures departures
}

// New returns a state machine without a catalog, at version 0.
func New() *Machine { return &Machine{state: &State{}} }

// Apply implements replica.StateMachine. A command that cannot be decoded is
// ignored. All replicas receive the same bytes and therefore ignore it as well.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var c Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := &Result{}
	switch body := c.Body.(type) {
	case *Command_PutCatalog:
		result.Replaced = m.putCatalog(body.PutCatalog)
	case *Command_StartGeneration:
		m.state = &State{Version: m.state.Version, Document: m.state.Document, Generation: m.state.Generation + 1, Verdicts: m.state.Verdicts}
	case *Command_AddVerdicts:
		m.addVerdicts(body.AddVerdicts)
	case *Command_RecordDepartures:
		m.departures.record(body.RecordDepartures)
	}
	result.Version, result.Generation = m.state.Version, m.state.Generation
	encoded, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

// putCatalog replaces the catalog if the version is higher than the current
// one. Repeated and reordered commands therefore have no effect.
func (m *Machine) putCatalog(c *PutCatalog) bool {
	if c.Version <= m.state.Version {
		return false
	}
	m.state = &State{Version: c.Version, Document: c.Document, Generation: m.state.Generation, Verdicts: m.state.Verdicts}
	return true
}

// addVerdicts merges verdicts with the stored ones. The time comes from the
// command, so that all replicas remove the same verdicts.
func (m *Machine) addVerdicts(c *AddVerdicts) {
	key := func(v *Verdict) (string, int64) { return string(v.Digest), v.UntilUnixMillis }
	all := quarantine.MergeStored(c.NowUnixMillis, m.state.Verdicts, c.Verdicts, key)
	m.state = &State{Version: m.state.Version, Document: m.state.Document, Generation: m.state.Generation, Verdicts: all}
	m.verdictChanges++
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	snapshot := &State{Version: m.state.Version, Document: m.state.Document, Generation: m.state.Generation, Verdicts: m.state.Verdicts, Departures: m.departures.list(0)}
	return proto.Marshal(snapshot)
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departures.byUpstream = nil
	for _, d := range s.Departures {
		m.departures.put(d)
	}
	s.Departures = nil
	m.state = &s
	m.verdictChanges++
	return nil
}

// Catalog returns the current document and its version, which is 0 if there is
// no catalog. The document must not be modified.
func (m *Machine) Catalog() (version uint64, document []byte) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Version, m.state.Document
}

// Verdicts returns the stored verdicts and the number of changes that they have
// had in this process. They must not be modified.
func (m *Machine) Verdicts() (changes uint64, verdicts []*Verdict) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.verdictChanges, m.state.Verdicts
}

// EncodeAddVerdicts returns the command that adds verdicts at the given time.
func EncodeAddVerdicts(now time.Time, verdicts []*Verdict) ([]byte, error) {
	return proto.Marshal(&Command{Body: &Command_AddVerdicts{AddVerdicts: &AddVerdicts{Verdicts: verdicts, NowUnixMillis: now.UnixMilli()}}})
}

// EncodePut returns the command that replaces the catalog.
func EncodePut(version uint64, document []byte) ([]byte, error) {
	return proto.Marshal(&Command{Body: &Command_PutCatalog{PutCatalog: &PutCatalog{Version: version, Document: document}}})
}

// EncodeStartGeneration returns the command that starts a new generation.
func EncodeStartGeneration() ([]byte, error) {
	return proto.Marshal(&Command{Body: &Command_StartGeneration{StartGeneration: &StartGeneration{}}})
}

// DecodeResult decodes the result of Apply.
func DecodeResult(data []byte) (*Result, error) {
	var r Result
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return &r, nil
}
