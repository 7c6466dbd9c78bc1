// Package background runs the goroutines of a component that ends.
package background

import "sync"

// Group is a number of goroutines. Unlike a sync.WaitGroup, it may be asked to run
// more of them while Wait is called, as by a message that arrives while its component
// ends. The zero value is ready to use.
type Group struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// Go runs f in a goroutine, or returns false after the call of Wait.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wg.Go(f)
	return true
}

// Wait waits for the goroutines and lets no others start.
func (g *Group) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
