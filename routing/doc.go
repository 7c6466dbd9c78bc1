// Package routing chooses an upstream for a request. Filters remove upstreams
// that must not receive it, scores estimate the seconds that each remaining
// one adds to the first token, and the pick compares two random finalists so
// that entries with the same lagging load reports do not all choose the same
// upstream.
//
// The package reads no clock, starts no goroutine and opens no connection. A
// Router may be used by several goroutines: a pick reads an immutable Table
// and atomic counters.
package routing
