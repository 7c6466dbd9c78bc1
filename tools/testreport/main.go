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

// name identifies a test by package and name.
type name struct{ pkg, test string }

func (n name) String() string { return n.pkg + " " + n.test }

// report collects the results of one run.
type report struct {
	output  map[name][]string
	results map[name]string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | testreport KNOWN-FAILURES-FILE")
		os.Exit(2)
	}
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !read(bufio.NewScanner(os.Stdin)).print(known) {
		os.Exit(1)
	}
}

// readKnown returns the tests that a line "test: PACKAGE NAME" lists. An absent
// file lists none.
func readKnown(path string) (map[string]bool, error) {
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

func read(in *bufio.Scanner) *report {
	r := &report{output: map[name][]string{}, results: map[name]string{}}
	in.Buffer(nil, 16<<20)
	for in.Scan() {
		var e event
		if json.Unmarshal(in.Bytes(), &e) != nil {
			fmt.Println(in.Text())
			continue
		}
		n := name{e.Package, e.Test}
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

// print writes failures and totals and reports whether the run is acceptable.
func (r *report) print(known map[string]bool) bool {
	counts := map[string]int{}
	knownFailed := map[string]bool{}
	acceptable := true
	for _, n := range r.names() {
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
			knownFailed[n.pkg] = true
			fmt.Printf("known failure, see KNOWN-RED.txt: %s\n", n)
		case n.test == "" && knownFailed[n.pkg] && !r.unlistedFailure(n.pkg, known):
		case r.parentOfKnown(n, known):
		default:
			acceptable = false
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", counts["pass"], counts["fail"], counts["skip"])
	return acceptable && counts["pass"] > 0
}

// names returns all results, the tests of a package before the package itself.
func (r *report) names() []name {
	names := make([]name, 0, len(r.results))
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

// parentOfKnown reports whether every failing subtest of n is a listed one.
func (r *report) parentOfKnown(n name, known map[string]bool) bool {
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

func (r *report) unlistedFailure(pkg string, known map[string]bool) bool {
	for n, result := range r.results {
		if result == "fail" && n.pkg == pkg && n.test != "" && !known[n.String()] && !r.parentOfKnown(n, known) {
			return true
		}
	}
	return false
}
