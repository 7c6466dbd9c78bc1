package main

import (
	"encoding/json"
	"time"
)

const engineServiceName = "rug-model"

// runAddress shows that a heartbeat of another writer that names the address of a
// head makes the leader give the members of its open group to another group.
func runAddress(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, 3, 2)
	if err != nil {
		return false, err
	}
	// Two groups of three engines, and a spare one.
	pool, err := d.startEngines(2*modelSize+1, engineServiceName)
	if err != nil {
		return false, err
	}
	r := newRoute("r-notes", "/notes/", "streaming", 2)
	r.Service = engineServiceName
	c := newConfig(3, r)
	c.Services = append(c.Services, engineService(engineServiceName))
	if _, err := d.putConfig(c); err != nil {
		return false, err
	}
	if err := waitFor(30*time.Second, "replica groups", func() bool { return len(pool.openHeads()) == 2 }); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	if trouble {
		head := pool.openHeads()[0]
		if err := d.sendElsewhere(head.address); err != nil {
			return false, err
		}
	}
	time.Sleep(15 * time.Second)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	rec.printf("%d joins were taken while the head of the engine's group was open or closing", pool.stolen)
	return pool.stolen > 0, nil
}

// sendElsewhere sends one heartbeat of another writer. Its service is not one of
// the configuration.
func (d *deployment) sendElsewhere(address string) error {
	body, err := json.Marshal(map[string]any{"service": "elsewhere", "address": address, "zone": zones[0], "version": "v1", "slots": 1, "state": "ready",
		"cold_remaining_ms": 0, "born": time.Now().UnixMilli(), "seq": 1})
	if err != nil {
		return err
	}
	status, answer, err := d.post(d.controls()[0], "/v1/Instances.Heartbeat/web-1", body)
	d.rec.printf("disruption: heartbeat %s: %d %s", body, status, answer)
	return err
}
