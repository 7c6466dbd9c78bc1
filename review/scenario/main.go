// Command scenario runs one case of the review against the project's daemons. It
// starts them as separate processes on loopback addresses, with stand-ins for
// clients, workers and the operator.
//
// Usage: scenario NAME RECORD. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 in the environment it
// leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	hardTimeout = 110 * time.Second
)

// record is the log of a run: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// scenario is one case. It returns whether the rule was broken.
type scenario func(rec *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"address":   runAddress,
	"foreign":   runForeign,
	"hang":      runHang,
	"heartbeat": runHeartbeat,
	"late":      runLate,
	"limits":    runLimits,
	"model":     runModel,
	"replay":    runReplay,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenario NAME RECORD")
		return exitCannot
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer file.Close()
	rec := &record{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %v", os.Args[1], trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(hardTimeout):
		}
		rec.printf("the case was stopped before its end")
		stopAll()
		os.Exit(exitCannot)
	}()
	defer stopAll()
	broken, err := scenarios[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannot
	case broken:
		rec.printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.printf("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
