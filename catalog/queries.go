package catalog

import "strings"

// Route returns the route with the longest prefix of a path, nil without one.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil when it does not exist.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Account returns the account that holds a key, nil when no account does.
func (c *Catalog) Account(key string) *Account { return c.byKey[key] }

// RequiresKey reports whether a request on a route needs a key.
func (c *Catalog) RequiresKey(r *Route) bool { return len(c.Accounts) > 0 && !r.Public }

// Target picks the service of a request; fraction is uniform in [0, 1).
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
