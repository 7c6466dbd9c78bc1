package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents   = 40
	eventInterval  = 100 * time.Millisecond
	frozenTime     = 4 * time.Second
	frozenRounds   = 4
	frozenReads    = 20
	parallelStream = 30
)

// runStop looks for answers that a planned stop of an entry daemon breaks off: streams
// that were under way, and requests on kept connections that come afterwards.
func runStop(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, 3, 2)
	if err != nil {
		return false, err
	}
	if _, err := d.startWorkers(3); err != nil {
		return false, err
	}
	stream := newRoute("r-stream", "/stream/", "streaming", 1)
	stream.TimeoutMS = 8000
	if _, err := d.putConfig(newConfig(3, stream, newRoute("r-book", "/book/", "non_idempotent", 1))); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	entry := d.entries()[0]
	var mu sync.Mutex
	var clients sync.WaitGroup
	cut, complete := 0, 0
	for range parallelStream {
		clients.Go(func() {
			events, err := d.readStream(entry)
			mu.Lock()
			defer mu.Unlock()
			if events == streamEvents && err == nil {
				complete++
				return
			}
			cut++
			rec.printf("LOST: a stream ended after event %d: %v", events, err)
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := d.signal(entry, syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	// Clients that keep their connections open until the daemon closes them.
	broken, served := 0, 0
	for range 8 {
		clients.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				status, err := d.bookOn(client, entry)
				mu.Lock()
				switch {
				case status == http.StatusOK:
					served++
				case err != nil && !strings.Contains(err.Error(), "refused"):
					broken++
					rec.printf("a booking on a kept connection failed: %v", err)
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	clients.Wait()
	rec.printf("%d streams complete, %d cut; %d bookings served, %d broken off", complete, cut, served, broken)
	return cut > 0 || broken > 0, nil
}

// readStream reads a stream and returns the id of its last event.
func (d *deployment) readStream(e *daemon) (events int, err error) {
	resp, err := d.request(&http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, e, "/stream/1", "")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		if _, err := fmt.Sscanf(in.Text(), "id: %d", &events); err != nil {
			continue
		}
	}
	return events, in.Err()
}

func (d *deployment) bookOn(client *http.Client, e *daemon) (int, error) {
	resp, err := d.request(client, e, "/book/one", "horse=7")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (d *deployment) request(client *http.Client, e *daemon, path, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress(e)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Bluebellfield-Attempt-Id", fmt.Sprintf("%016x", 0x5eed000000000000+lastRequest.Add(1)))
	req.Header.Set("Bluebellfield-Deadline-Ms", "8000")
	req.Header.Set("Authorization", "Token "+tenantKey)
	return client.Do(req)
}

// runFreeze looks for a control daemon that answers a read with an older
// configuration after it has been stopped for some seconds.
func runFreeze(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, 3, 1)
	if err != nil {
		return false, err
	}
	if _, err := d.startWorkers(3); err != nil {
		return false, err
	}
	version := 3
	if _, err := d.putConfig(newConfig(version, newRoute("r-book", "/book/", "non_idempotent", 1))); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	stale, answered := 0, 0
	for round := range frozenRounds * 3 {
		frozen := d.daemons[round%3]
		if trouble {
			if err := d.signal(frozen, syscall.SIGSTOP); err != nil {
				return false, err
			}
		}
		time.Sleep(frozenTime / 4)
		version++
		if _, err := d.putConfig(newConfig(version, newRoute("r-book", "/book/", "non_idempotent", 1))); err != nil {
			return false, err
		}
		time.Sleep(configApply + 100*time.Millisecond)
		var reads sync.WaitGroup
		var mu sync.Mutex
		for range frozenReads {
			reads.Go(func() {
				got, err := d.readVersion(frozen)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					answered++
				}
				if err == nil && got < version {
					stale++
					rec.printf("CONFIG: %s answers a read with version %d after the acknowledgement of %d", frozen.name, got, version)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		if trouble {
			if err := d.signal(frozen, syscall.SIGCONT); err != nil {
				return false, err
			}
		}
		reads.Wait()
	}
	rec.printf("%d reads answered, %d of them stale", answered, stale)
	return stale > 0, nil
}

// readVersion reads the version of the configuration at a control daemon.
func (d *deployment) readVersion(m *daemon) (int, error) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/Config.Get", m.ip, d.ports.control))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, errors.Join(err, fmt.Errorf("status %d", resp.StatusCode))
	}
	var version int
	_, err = fmt.Sscanf(string(body), `{"version":%d`, &version)
	return version, err
}
