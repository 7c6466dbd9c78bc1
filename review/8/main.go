// Command 8 shows that the members of an open group are ordered into another group
// after the whole group was out of the leader's reach for some time.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/review/lab"
)

const (
	engines   = 14
	groupSize = 3
	// cutTime is the length of one partition, secondCut the time from the start of the
	// first one to that of the second.
	cutTime   = 10 * time.Second
	secondCut = 8 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New("review/8/record.txt")
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
	if err := fleet.AwaitOpen(engines / groupSize); err != nil {
		return err
	}
	stop := make(chan struct{})
	go lab.Traffic(l, entries, "m1", stop)
	time.Sleep(lab.ContactTime + time.Second)
	// The model has no requests for a while.
	close(stop)
	time.Sleep(2 * time.Second)

	members := openGroup(fleet)
	l.Log("members of an open group: %v", members)
	if l.Trouble {
		cut(fleet, members)
	}
	time.Sleep(secondCut)
	if l.Trouble {
		cut(fleet, members)
	}
	time.Sleep(cutTime)
	time.Sleep(6 * time.Second)
	return nil
}

func cut(fleet *lab.Fleet, members []string) {
	for _, id := range members {
		fleet.Get(id).Cut(cutTime)
	}
}

func engineID(i int) string { return fmt.Sprintf("w%02d", i+1) }

// openGroup returns the members of an open group.
func openGroup(fleet *lab.Fleet) []string {
	for i := range engines {
		group, rank, state := fleet.Get(engineID(i)).State()
		if rank != 0 || state != "open" {
			continue
		}
		var members []string
		for j := range engines {
			if other, _, _ := fleet.Get(engineID(j)).State(); other == group {
				members = append(members, engineID(j))
			}
		}
		slices.Sort(members)
		return members
	}
	return nil
}
