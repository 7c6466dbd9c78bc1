// Command 6 shows that the members of an open group are ordered into another group
// after the former address of its head was given to a worker of another service.
package main

import (
	"fmt"
	"maps"
	"os"
	"time"

	"github.com/bluebellfield/bluebellfield/review/lab"
)

const (
	// A domain has 11 workers, that is three groups and two spares.
	domainSize = 11
	engines    = 2 * domainSize
	groups     = 6
	groupSize  = 3
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New("review/6/record.txt")
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
	hosts := map[string]string{}
	for i := range engines {
		id := engineID(i)
		hosts[id] = l.Host()
		if _, err := fleet.StartWorker(id, "model", "zone-1", hosts[id], domainOf(i), nil); err != nil {
			return err
		}
	}
	if _, err := fleet.StartWorker("a1", "app", "zone-1", l.Host(), "", nil); err != nil {
		return err
	}
	if err := l.PutConfiguration(controls, lab.EngineConfiguration("m1", groupSize)); err != nil {
		return err
	}
	if err := l.AwaitReady(entries); err != nil {
		return err
	}
	if err := fleet.AwaitOpen(groups); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go lab.Traffic(l, entries, "m1", stop)
	time.Sleep(3 * time.Second)

	// All workers of a domain crash. They start again under the ids that they had,
	// at other addresses.
	former := maps.Clone(hosts)
	if l.Trouble {
		for i := range domainSize {
			fleet.Get(engineID(i)).Crash()
		}
		time.Sleep(4 * time.Second)
		for i := range domainSize {
			id := engineID(i)
			hosts[id] = l.Host()
			if _, err := fleet.StartWorker(id, "model", "zone-1", hosts[id], domainOf(i), []string{"m1"}); err != nil {
				return err
			}
		}
		if err := fleet.AwaitOpen(groups); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)

	// A worker of another service gets the address of a worker that has ended more
	// than reuse_after_s ago.
	head := openHead(fleet)
	l.Log("head of an open group: %s", head)
	address := l.Host()
	if l.Trouble {
		address = former[head]
	}
	if _, err := fleet.StartWorker("a2", "app", "zone-1", address, "", nil); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	return nil
}

func domainOf(i int) string { return fmt.Sprintf("fabric-%d", i/domainSize+1) }

func engineID(i int) string { return fmt.Sprintf("w%02d", i+1) }

// openHead returns the head of an open group.
func openHead(fleet *lab.Fleet) string {
	for i := range domainSize {
		if _, rank, state := fleet.Get(engineID(i)).State(); rank == 0 && state == "open" {
			return engineID(i)
		}
	}
	return ""
}
