// Package peertest has a stand-in for the messages between entries, for tests.
package peertest

import (
	"context"
	"slices"
	"sync"

	"github.com/bluebellfield/bluebellfield/internal/peer"
)

// Messages delivers messages between the entries of one test. Each entry handles one
// channel.
type Messages struct {
	mu       sync.Mutex
	handlers map[string]peer.Handler
}

// NewMessages returns a network without entries.
func NewMessages() *Messages { return &Messages{handlers: map[string]peer.Handler{}} }

// Handler returns the handler of an entry, nil if there is none.
func (m *Messages) Handler(id string) peer.Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers[id]
}

// MessageEndpoint is the connection of one entry to the others.
type MessageEndpoint struct {
	messages *Messages
	id       string
}

// Endpoint returns the connection of an entry.
func (m *Messages) Endpoint(id string) MessageEndpoint { return MessageEndpoint{m, id} }

// Handle sets the handler of the entry.
func (e MessageEndpoint) Handle(_ string, h peer.Handler) {
	e.messages.mu.Lock()
	defer e.messages.mu.Unlock()
	e.messages.handlers[e.id] = h
}

// Send delivers a message, and reports whether the receiver has a handler.
func (e MessageEndpoint) Send(to, _ string, payload []byte) bool {
	h := e.messages.Handler(to)
	if h == nil {
		return false
	}
	go func() { _, _ = h(context.Background(), e.id, payload) }()
	return true
}

// Others lists the other entries, sorted.
func (e MessageEndpoint) Others() []string {
	e.messages.mu.Lock()
	defer e.messages.mu.Unlock()
	var ids []string
	for id := range e.messages.handlers {
		if id != e.id {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
