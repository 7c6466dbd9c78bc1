package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// call is one request of a client.
type call struct {
	entry  *daemon
	method string
	path   string
	body   string
	header map[string]string
}

// reply is what a client gets for a call.
type reply struct {
	id     string
	sent   time.Time
	status int
	seal   string
	body   string
	err    error
}

// send sends a request on a new connection, so that the client's transport never
// repeats it, and reads the answer.
func (d *deployment) send(c call) reply {
	r := reply{id: fmt.Sprintf("%016x", 0x5eed000000000000+lastRequest.Add(1)), sent: time.Now()}
	req, err := http.NewRequest(c.method, "http://"+d.callerAddress(c.entry)+c.path, strings.NewReader(c.body))
	if err != nil {
		r.err = err
		return r
	}
	if c.body == "" {
		req.Body = http.NoBody
	}
	req.Host = host
	req.Header.Set("Bluebellfield-Attempt-Id", r.id)
	req.Header.Set("Bluebellfield-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Token "+tenantKey)
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: d.patience, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
	} else {
		defer resp.Body.Close()
		var body []byte
		body, r.err = io.ReadAll(resp.Body)
		r.status, r.seal, r.body = resp.StatusCode, resp.Header.Get("Bluebellfield-Server-Seal"), string(body)
	}
	d.rec.printf("client: %s %s %s at %s: %d seal=%q %s", r.id, c.method, c.path, c.entry.name, r.status, r.seal, errorText(r.err))
	return r
}
