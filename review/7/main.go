// Command 7 shows that the heartbeats of another system break up an open group after a
// machine of the core was replaced.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/bluebellfield/bluebellfield/review/lab"
)

const (
	engines   = 8
	groupSize = 3
	// foreign is the number of workers of the other system.
	foreign = 2
	// retryPause is the time after which a worker of the other system repeats a
	// heartbeat that was not answered.
	retryPause = 100 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New("review/7/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.NotRun
	}
	return l.Finish(play(l))
}

func play(l *lab.Lab) error {
	controls, entries, err := l.Start(3, 2)
	if err != nil {
		return err
	}
	models := []lab.Model{{Name: "m1", Size: groupSize, Load: 1200 * time.Millisecond, Warm: time.Second}}
	fleet := lab.NewFleet(l, controls, models)
	for i := range engines {
		if _, err := fleet.StartWorker(engineID(i), "model", "zone-1", l.Host(), "fabric-1", nil); err != nil {
			return err
		}
	}
	if err := l.PutConfiguration(controls, lab.EngineConfiguration("m1", groupSize)); err != nil {
		return err
	}
	if err := l.AwaitReady(entries); err != nil {
		return err
	}
	if err := fleet.AwaitOpen(2); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go lab.Traffic(l, entries, "m1", stop)
	time.Sleep(lab.ContactTime + time.Second)

	// The workers of another system report to the last machine of the core: their
	// service isn't named by any configuration, and their addresses are those that two
	// of our workers have.
	var target atomic.Value
	target.Store(controls[2])
	for i := range foreign {
		go beat(l, fleet, i, &target, stop)
	}
	time.Sleep(4 * time.Second)

	if l.Trouble {
		l.Kill(controls[2])
		replacement := l.Host()
		target.Store(replacement)
		time.Sleep(time.Second)
		if err := l.AddControl(replacement, "zone-3", controls); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	return nil
}

func engineID(i int) string { return fmt.Sprintf("w%d", i+1) }

// beat sends the heartbeats of a worker of the other system.
func beat(l *lab.Lab, fleet *lab.Fleet, i int, target *atomic.Value, stop chan struct{}) {
	born := time.Now().UnixMilli()
	time.Sleep(time.Duration(i) * lab.HeartbeatInterval / foreign)
	for seq := 1; ; seq++ {
		body, err := json.Marshal(map[string]any{"service": "other", "address": fleet.Get(engineID(i * groupSize)).Address(), "zone": "zone-1", "version": "v1", "slots": 4,
			"state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": born})
		if err != nil {
			panic(err)
		}
		control := target.Load().(string)
		status := lab.Post(control, fmt.Sprintf("/v1/Instances.Heartbeat/other-%d", i+1), body, time.Second)
		l.Log("heartbeat of other-%d to %s answered %d", i+1, control, status)
		pause := lab.HeartbeatInterval
		if status != http.StatusOK {
			pause = retryPause
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}
