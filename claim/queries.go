package claim

import "time"

// Record describes a key.
type Record struct {
	State    State
	Account  string
	Holder   Holder
	Deadline time.Time
	// Answer is set for StateDone. It must not be changed.
	Answer *Answer
}

// Lookup returns the record of a key, false for a free key.
func (m *Machine) Lookup(key Key) (Record, bool) {
	if r, ok := m.records[key]; ok {
		return Record{State: r.state, Account: r.use.account, Holder: r.holder, Deadline: fromMillis(r.deadline), Answer: r.answer}, true
	}
	if t, ok := m.tombs[key]; ok {
		return Record{State: StateTombstone, Account: t.use.account}, true
	}
	return Record{}, false
}

// Len returns the number of records, tombstones included.
func (m *Machine) Len() int { return len(m.records) + len(m.tombs) }

// Clock returns the time by which records expire.
func (m *Machine) Clock() time.Time { return fromMillis(m.clock) }

// Stats counts the records by state.
type Stats struct {
	Running, Done, Unknown, Tombstones int
	StoredBytes                        int64
	Accounts                           int
}

// Stats returns the number of records by state.
func (m *Machine) Stats() Stats {
	s := Stats{Tombstones: len(m.tombs), StoredBytes: m.bytes, Accounts: len(m.usage)}
	for _, r := range m.records {
		switch r.state {
		case StateRunning:
			s.Running++
		case StateDone:
			s.Done++
		case StateUnknown:
			s.Unknown++
		}
	}
	return s
}

// AccountUsage returns the records and stored bytes of an account.
func (m *Machine) AccountUsage(account string) (records, bytes int64) {
	u := m.usage[account]
	if u == nil {
		return 0, 0
	}
	return u.records, u.bytes
}
