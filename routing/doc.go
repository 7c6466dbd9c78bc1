// Package routing selects an upstream for a request. Filters remove ineligible
// upstreams, and scores estimate the delay that each remaining one adds to the
// first token. The pick then compares two random finalists, so that entries
// with the same delayed load reports do not all choose the same upstream.
//
// Callers pass the current time; the package starts no goroutines and opens no
// connections. A Router is safe for concurrent use: a pick reads an immutable
// Table and atomic counters.
package routing
