package catalog

import "strings"

// Route returns the route of the host with the longest matching path prefix, or
// nil if no route matches.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil if it does not exist.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Account returns the account with the given key, or nil if there is none.
func (c *Catalog) Account(key string) *Account { return c.byKey[key] }

// RequiresKey reports whether requests to a route require a key. Without any
// account, no route does.
func (c *Catalog) RequiresKey(r *Route) bool { return len(c.Accounts) > 0 && !r.Public }

// Target selects a service by weight. Fraction is a uniform random number in
// [0, 1).
func (r *Route) Target(fraction float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := fraction * float64(total)
	for _, t := range r.Targets {
		if point < float64(t.Weight) {
			return t.Service
		}
		point -= float64(t.Weight)
	}
	return r.Targets[len(r.Targets)-1].Service
}
