package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// maxUnlisted limits the reports that are kept for services that the catalog does
// not list.
const maxUnlisted = 4096

// unlistedReports holds the reports of upstreams whose service the catalog does
// not list. Such a report may come from another system and may name the address
// of an upstream in use, so it must not change any record. The upstreams of a
// service that is about to be added report in the same way; their reports take
// effect together with the catalog that lists the service. Without a catalog no
// service is listed: an instance that replaces another one joins a deployment whose
// upstreams are in use before it knows any of them.
type unlistedReports struct {
	// listed holds the names of the services in the catalog, nil before the first
	// catalog.
	listed  map[string]bool
	reports map[string]fleet.Upstream // by id
}

// hasCatalog reports whether a catalog is in force.
func (r *unlistedReports) hasCatalog() bool { return r.listed != nil }

// keep keeps the newest report of an upstream. A report is dropped while there are
// too many; the upstream sends another one.
func (r *unlistedReports) keep(now time.Time, u fleet.Upstream) {
	old, known := r.reports[u.ID]
	if !known && len(r.reports) >= maxUnlisted || known && !u.Supersedes(&old) {
		return
	}
	if r.reports == nil {
		r.reports = map[string]fleet.Upstream{}
	}
	u.ReceivedAt = now
	r.reports[u.ID] = u
}

// leave drops the report of an upstream that has left. startMillis is zero if it
// is not known.
func (r *unlistedReports) leave(id string, startMillis int64) {
	if old, known := r.reports[id]; known && (startMillis == 0 || startMillis >= old.StartMillis) {
		delete(r.reports, id)
	}
}

// setServices installs the services of a new catalog. It returns and drops the
// reports that the catalog now lists.
func (r *unlistedReports) setServices(services []catalog.Service) []fleet.Upstream {
	r.listed = make(map[string]bool, len(services))
	for i := range services {
		r.listed[services[i].Name] = true
	}
	var released []fleet.Upstream
	for id, u := range r.reports {
		if r.listed[u.Service] {
			released = append(released, u)
			delete(r.reports, id)
		}
	}
	return released
}

// removeOlderThan drops the reports that were received before a time.
func (r *unlistedReports) removeOlderThan(before time.Time) {
	for id, u := range r.reports {
		if u.ReceivedAt.Before(before) {
			delete(r.reports, id)
		}
	}
}

// isUnlisted reports whether a report must not change the table. Upstreams that
// are registered keep reporting after their service was removed, so that entries
// with an earlier catalog hear of their departure. The caller holds mu.
func (c *Control) isUnlisted(u *fleet.Upstream) bool {
	if c.unlisted.listed[u.Service] {
		return false
	}
	old, known := c.table.Get(u.ID)
	return !known || old.Service != u.Service || old.Address != u.Address
}

// listServices puts the services of the catalog in force into effect for reports.
func (c *Control) listServices() {
	version, document := c.machine.Catalog()
	if version == 0 || version == c.listedVersion {
		return
	}
	content, err := c.opts.Decode(document)
	if err != nil {
		c.opts.Logger.Error("failed to decode the catalog in force", zap.Uint64("version", version), zap.Error(err))
		return
	}
	c.listedVersion = version
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.unlisted.setServices(content.Services) {
		c.recordReport(u.ReceivedAt, u)
	}
}
