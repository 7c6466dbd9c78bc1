package globalstate

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Machine is the state machine of the global log. Its methods may be called
// concurrently.
type Machine struct {
	mu     sync.RWMutex
	store  *settings.Store
	claims *claim.Machine
	index  uint64
	tree   atomic.Pointer[settings.Tree]
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{store: settings.New()}
	m.claims = claim.New(m.claimLimits)
	m.tree.Store(m.store.Tree())
	return m
}

// claimLimits returns the limits of an account from the current settings. They
// are replicated by the same log, so every replica uses the same limits.
func (m *Machine) claimLimits(account string) claim.Limits {
	tree := m.store.Tree()
	global := tree.Global()
	l := claim.Limits{
		Answers: global.ClaimAnswers, Tombstones: global.ClaimTombstones,
		MaxRecords: global.ClaimMaxRecords, MaxStoredBytes: global.ClaimMaxStoredBytes,
	}
	if a, ok := tree.Account(account); ok {
		l.MaxRecords, l.MaxStoredBytes = a.ClaimMaxRecords, a.ClaimMaxStoredBytes
	}
	return l
}

// Apply executes the command at a log index and returns the encoded result.
// Commands at or below the last applied index are not executed again.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.index {
		return encodeError(BadCommand, fmt.Sprintf("index %d is not after %d", index, m.index))
	}
	m.index = index
	if len(command) < 2 {
		return encodeError(BadCommand, fmt.Sprintf("%d bytes", len(command)))
	}
	if command[0] != version {
		return encodeError(UnknownVersion, fmt.Sprintf("version %d, accepted: %d", command[0], version))
	}
	switch kind, payload := Kind(command[1]), command[2:]; kind {
	case KindSettings:
		return m.applyChange(payload)
	case KindClaim:
		return m.applyClaim(payload)
	default:
		return encodeError(UnknownKind, fmt.Sprintf("kind %d", kind))
	}
}

func (m *Machine) applyChange(payload []byte) []byte {
	c, err := settings.DecodeChange(payload)
	if err != nil {
		return encodeError(BadCommand, err.Error())
	}
	r := m.store.Apply(c)
	m.tree.Store(m.store.Tree())
	data, err := json.Marshal(r)
	if err != nil {
		return encodeError(BadCommand, err.Error())
	}
	return encodeEnvelope(KindSettings, data)
}

func (m *Machine) applyClaim(payload []byte) []byte {
	c, err := claim.Decode(payload)
	if err != nil {
		return encodeError(BadCommand, err.Error())
	}
	return encodeEnvelope(KindClaim, claim.EncodeResult(m.claims.Apply(c)))
}

func encodeError(code ErrorCode, message string) []byte {
	data, err := json.Marshal(CommandError{Code: code, Message: message})
	if err != nil {
		data = []byte(`{}`)
	}
	return encodeEnvelope(KindError, data)
}

// Snapshot encodes the state deterministically: equal states have equal
// encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	store, err := m.store.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot of the settings: %w", err)
	}
	claims := m.claims.Snapshot()
	out := make([]byte, 0, len(store)+len(claims)+32)
	out = append(out, version)
	out = binary.AppendUvarint(out, m.index)
	out = binary.AppendUvarint(out, uint64(len(store)))
	out = append(out, store...)
	return append(out, claims...), nil
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 || data[0] != version {
		return fmt.Errorf("snapshot of the global state: unknown version, accepted: %d", version)
	}
	rest := data[1:]
	index, n := binary.Uvarint(rest)
	size, k := binary.Uvarint(rest[max(n, 0):])
	if n <= 0 || k <= 0 || size > uint64(len(rest)-n-k) {
		return fmt.Errorf("snapshot of the global state is truncated at %d bytes", len(data))
	}
	rest = rest[n+k:]
	store := settings.New()
	if err := store.Restore(rest[:size]); err != nil {
		return err
	}
	claims := claim.New(m.claimLimits)
	if err := claims.Restore(rest[size:]); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store, m.claims, m.index = store, claims, index
	m.tree.Store(m.store.Tree())
	return nil
}
