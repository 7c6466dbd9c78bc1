// Command testreport reads the output of "go test -json" from standard input,
// prints the failures and the totals, and exits with 1 when a test failed that
// the file of known failures does not list.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
)

// event is one line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testID identifies a test, or with an empty test name a package.
type testID struct{ pkg, test string }

func (n testID) String() string { return n.pkg + " " + n.test }

// report holds the output and results of one run by test.
type report struct {
	output  map[testID][]string
	results map[testID]string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | testreport KNOWN-FAILURES-FILE")
		os.Exit(2)
	}
	known, err := readKnownFailures(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !parseEvents(bufio.NewScanner(os.Stdin)).print(known) {
		os.Exit(1)
	}
}

// readKnownFailures returns the tests that the file lists in lines of the form
// "test: PACKAGE NAME". An absent file lists none.
func readKnownFailures(path string) (map[string]bool, error) {
	known := map[string]bool{}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return known, nil
	}
	for _, line := range strings.Split(string(data), "\n") {
		if test, ok := strings.CutPrefix(line, "test: "); ok {
			known[strings.TrimSpace(test)] = true
		}
	}
	return known, err
}

// parseEvents reads the output of "go test -json". It prints the results of
// packages and the lines that are not JSON.
func parseEvents(in *bufio.Scanner) *report {
	r := &report{output: map[testID][]string{}, results: map[testID]string{}}
	in.Buffer(nil, 16<<20)
	for in.Scan() {
		var e event
		if json.Unmarshal(in.Bytes(), &e) != nil {
			fmt.Println(in.Text())
			continue
		}
		n := testID{e.Package, e.Test}
		switch e.Action {
		case "output", "build-output":
			r.output[n] = append(r.output[n], e.Output)
		case "pass", "fail", "skip":
			r.results[n] = e.Action
			if e.Test == "" {
				fmt.Printf("%s\t%s\n", e.Action, e.Package)
			}
		case "build-fail":
			r.results[n] = "fail"
		}
	}
	return r
}

// print writes failures and totals. It reports whether at least one test passed
// and all failures are known.
func (r *report) print(known map[string]bool) bool {
	counts := map[string]int{}
	packagesWithKnownFailure := map[string]bool{}
	acceptable := true
	for _, n := range r.sortedTests() {
		result := r.results[n]
		if n.test != "" {
			counts[result]++
		}
		listed := known[n.String()]
		if listed && result == "pass" {
			fmt.Printf("KNOWN-RED test passes, remove it from the list: %s\n", n)
		}
		if result != "fail" {
			continue
		}
		fmt.Printf("--- FAIL: %s\n%s", n, strings.Join(r.output[n], ""))
		switch {
		case listed:
			packagesWithKnownFailure[n.pkg] = true
			fmt.Printf("known failure, see KNOWN-RED.txt: %s\n", n)
		case n.test == "" && packagesWithKnownFailure[n.pkg] && !r.hasUnlistedFailure(n.pkg, known):
		case r.onlyKnownSubtestsFailed(n, known):
		default:
			acceptable = false
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", counts["pass"], counts["fail"], counts["skip"])
	return acceptable && counts["pass"] > 0
}

// sortedTests returns the ids of all results, the tests of a package before the
// package itself.
func (r *report) sortedTests() []testID {
	names := make([]testID, 0, len(r.results))
	for n := range r.results {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if a.pkg != b.pkg {
			return a.pkg < b.pkg
		}
		if (a.test == "") != (b.test == "") {
			return b.test == ""
		}
		return a.test < b.test
	})
	return names
}

// onlyKnownSubtestsFailed reports whether subtests of n failed and all of them
// are listed.
func (r *report) onlyKnownSubtestsFailed(n testID, known map[string]bool) bool {
	found := false
	for sub, result := range r.results {
		if result == "fail" && sub.pkg == n.pkg && strings.HasPrefix(sub.test, n.test+"/") {
			if !known[sub.String()] {
				return false
			}
			found = true
		}
	}
	return found && n.test != ""
}

// hasUnlistedFailure reports whether a test of pkg failed that is not listed.
func (r *report) hasUnlistedFailure(pkg string, known map[string]bool) bool {
	for n, result := range r.results {
		if result == "fail" && n.pkg == pkg && n.test != "" && !known[n.String()] && !r.onlyKnownSubtestsFailed(n, known) {
			return true
		}
	}
	return false
}
