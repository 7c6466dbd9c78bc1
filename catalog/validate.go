package catalog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// New validates and indexes a catalog. It returns the first error found.
func New(content Content) (*Catalog, error) {
	c := &Catalog{Content: content, byHost: map[string][]*Route{}, services: map[string]*Service{}, byKey: map[string]*Account{}}
	if err := c.indexServices(); err != nil {
		return nil, err
	}
	if err := c.indexRoutes(); err != nil {
		return nil, err
	}
	return c, c.indexAccounts()
}

func (c *Catalog) indexServices() error {
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			return errors.New("a service has no name")
		}
		if c.services[s.Name] != nil {
			return fmt.Errorf("service %q is listed twice", s.Name)
		}
		if s.Engine != nil {
			if err := s.Engine.Validate(); err != nil {
				return fmt.Errorf("service %q: %w", s.Name, err)
			}
		}
		c.services[s.Name] = s
	}
	return nil
}

func (c *Catalog) indexRoutes() error {
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := c.validateRoute(r); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for host, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(len(b.PathPrefix)-len(a.PathPrefix), strings.Compare(a.PathPrefix, b.PathPrefix))
		})
		for i := 1; i < len(routes); i++ {
			if routes[i].PathPrefix == routes[i-1].PathPrefix {
				return fmt.Errorf("routes %q and %q share host %q and prefix %q", routes[i-1].Name, routes[i].Name, host, routes[i].PathPrefix)
			}
		}
	}
	return nil
}

func (c *Catalog) validateRoute(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.PathPrefix)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not positive", r.Timeout)
	}
	total := 0
	for _, t := range r.Targets {
		if c.services[t.Service] == nil {
			return fmt.Errorf("service %q does not exist", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Errorf("weight %d of service %q is negative", t.Weight, t.Service)
		}
		total += t.Weight
	}
	if total == 0 {
		return errors.New("the weights add up to 0")
	}
	return nil
}

func (c *Catalog) indexAccounts() error {
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, key := range a.Keys {
			if other := c.byKey[key]; other != nil && other != a {
				return fmt.Errorf("accounts %q and %q share a key", other.Name, a.Name)
			}
			c.byKey[key] = a
		}
	}
	return nil
}
