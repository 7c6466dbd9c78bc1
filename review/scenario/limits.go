package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	smallHeaderLimit = 16 << 10
	largeHeaderLimit = 64 << 10
	// largeCookieBytes lies between the two limits.
	largeCookieBytes = 32 << 10
	requestsPerEntry = 20
	// deniedAllowance and deniedShare are those of the rule: 5, and one in 500.
	deniedAllowance = 5
	deniedShare     = 500
)

// runLimits shows that clients are refused by the header limit of a configuration
// that is no longer in force. Without the disruption, the first configuration
// already has the larger limit. It is not handed in as a case.
func runLimits(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, 3, 2)
	if err != nil {
		return false, err
	}
	if _, err := d.startWorkers(3); err != nil {
		return false, err
	}
	first := newConfig(3, newRoute("r-status", "/status/", "idempotent", 2))
	if !trouble {
		first.Limits.MaxHeaderBytes = largeHeaderLimit
	}
	if _, err := d.putConfig(first); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	all, denied := 0, 0
	send := func(cookieBytes int) {
		for range requestsPerEntry {
			for _, e := range d.entries() {
				r := d.send(call{entry: e, method: http.MethodGet, path: "/status/1", header: map[string]string{"Cookie": "basket=" + strings.Repeat("x", cookieBytes)}})
				all++
				if r.status >= 300 && r.status < 500 && r.seal == "" && r.status != http.StatusRequestTimeout && r.status != http.StatusTooManyRequests {
					denied++
				}
			}
		}
	}
	send(smallHeaderLimit / 2)
	rec.printf("requests within the first limit: %d of %d denied", denied, all)
	if trouble {
		second := newConfig(8, newRoute("r-status", "/status/", "idempotent", 2))
		second.Limits.MaxHeaderBytes = largeHeaderLimit
		rec.printf("disruption: a configuration raises max_header_bytes from %d to %d", smallHeaderLimit, largeHeaderLimit)
		if _, err := d.putConfig(second); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * configApply)
	send(largeCookieBytes)
	rec.printf("all requests: %d of %d denied with a 4xx of an entry daemon, the rule allows %d", denied, all, deniedAllowance+all/deniedShare)
	return denied > deniedAllowance+all/deniedShare, nil
}
