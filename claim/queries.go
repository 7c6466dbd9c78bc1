package claim

import "time"

// Record is the state of a key.
type Record struct {
	State    State
	Account  string
	Holder   Holder
	Deadline time.Time
	// Answer is set for StateDone. It must not be modified.
	Answer *Answer
}

// Lookup returns the record of a key, and false if the key has none.
func (m *Machine) Lookup(key Key) (Record, bool) {
	if r, ok := m.records[key]; ok {
		return Record{State: r.state, Account: r.usage.account, Holder: r.holder, Deadline: timeFromMillis(r.deadline), Answer: r.answer}, true
	}
	if t, ok := m.tombstones[key]; ok {
		return Record{State: StateTombstone, Account: t.usage.account}, true
	}
	return Record{}, false
}

// Len returns the number of records, including tombstones.
func (m *Machine) Len() int { return len(m.records) + len(m.tombstones) }

// Clock returns the machine's clock, which determines when records expire.
func (m *Machine) Clock() time.Time { return timeFromMillis(m.clock) }

// Stats holds the number of records by state, and of stored bytes and accounts.
type Stats struct {
	Running, Done, Unknown, Tombstones int
	StoredBytes                        int64
	Accounts                           int
}

// Stats returns statistics of the machine.
func (m *Machine) Stats() Stats {
	s := Stats{Tombstones: len(m.tombstones), StoredBytes: m.storedBytes, Accounts: len(m.usage)}
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

// AccountUsage returns the number of records, including tombstones, and of
// stored bytes of an account.
func (m *Machine) AccountUsage(account string) (records, bytes int64) {
	u := m.usage[account]
	if u == nil {
		return 0, 0
	}
	return u.records, u.bytes
}
