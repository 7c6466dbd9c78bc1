package ctl

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// explainWindow is how long before and after a request the lines about its
// upstreams and groups are shown: a stalled group is seen within a second and
// formed again within some more.
const explainWindow = 4 * time.Second

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

type explainRequestCommand struct {
	app  *App
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Files   []string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

func (a *App) addExplain() error {
	_, err := a.Parser.AddCommand("explain", "Explain what became of a request, from logs",
		"Reads the logs of several processes, finds the lines of a request and those about the upstreams, groups and catalog that decided it, and prints them in order with the cause. A FILE of - is the standard input.",
		&explainRequestCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *explainRequestCommand) Execute([]string) error {
	var lines []logLine
	for _, name := range c.Args.Files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return explain(c.app.Out, c.Args.Request, lines)
}

// logLine is a line of a log, by field.
type logLine struct {
	at       time.Time
	message  string
	instance string
	fields   map[string]any
}

func readLog(name string) ([]logLine, error) {
	if name == "-" {
		return parseLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	lines, err := parseLog(f)
	return lines, errors.Join(err, f.Close())
}

// parseLog reads lines of JSON. What stands before the first brace of a line,
// such as a collector's time and host, is left out; other lines are skipped.
func parseLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", textOf(fields["ts"]))
		if err != nil {
			continue
		}
		lines = append(lines, logLine{at, textOf(fields["msg"]), textOf(fields["instance"]), fields})
	}
	return lines, scanner.Err()
}

func textOf(v any) string {
	text, _ := v.(string)
	return text
}

// explain prints the lines of a request and those about what decided it.
func explain(out io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var own []logLine
	for _, l := range lines {
		if textOf(l.fields["request"]) == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return exit(ExitError, "no line names request %q", id)
	}
	subjects := subjectsOf(own)
	first, last := window(own)
	for _, l := range lines {
		mine := textOf(l.fields["request"]) == id
		if mine || !l.at.Before(first) && !l.at.After(last) && l.concerns(subjects) {
			fmt.Fprintln(out, l.describe())
		}
	}
	for _, l := range own {
		if l.message == "request" {
			fmt.Fprintf(out, "cause: %s\n", causeOf(l, lines))
		}
	}
	return nil
}

// window is the time around a request in which other lines matter.
func window(own []logLine) (first, last time.Time) {
	first, last = own[0].at, own[len(own)-1].at
	for _, l := range own {
		if ms, ok := l.fields["ms"].(float64); ok {
			if began := l.at.Add(-time.Duration(ms) * time.Millisecond); began.Before(first) {
				first = began
			}
		}
	}
	return first.Add(-explainWindow), last.Add(explainWindow)
}

// subjectsOf lists the upstreams and groups that a request was sent to.
func subjectsOf(own []logLine) map[string]bool {
	subjects := map[string]bool{}
	for _, l := range own {
		for _, s := range sendsOf(l) {
			for _, key := range []string{"upstream", "group"} {
				if name := textOf(s[key]); name != "" {
					subjects[name] = true
				}
			}
		}
	}
	return subjects
}

func sendsOf(l logLine) []map[string]any {
	var sends []map[string]any
	all, _ := l.fields["sends"].([]any)
	for _, s := range all {
		if send, ok := s.(map[string]any); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

// concerns reports whether a line is about one of the subjects, or about the
// instance itself.
func (l *logLine) concerns(subjects map[string]bool) bool {
	switch l.message {
	case "request", "groups", "subscriber joined", "subscriber dropped":
		return false
	case "instance started", "stopping", "leadership changed", "catalog acknowledged":
		return true
	}
	return subjects[textOf(l.fields["upstream"])] || subjects[textOf(l.fields["group"])]
}

// hidden fields say nothing about a decision.
var hidden = []string{"ts", "msg", "instance", "level", "errorVerbose"}

func (l *logLine) describe() string {
	keys := make([]string, 0, len(l.fields))
	for key := range l.fields {
		if !slices.Contains(hidden, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.at.Format("15:04:05.000"), l.instance, l.message)
	for _, key := range keys {
		if value, err := json.Marshal(l.fields[key]); err == nil {
			fmt.Fprintf(&b, " %s=%s", key, value)
		}
	}
	return b.String()
}

// causeOf says in one line why a request ended as it did.
func causeOf(l logLine, lines []logLine) string {
	outcome, reason := textOf(l.fields["outcome"]), textOf(l.fields["reason"])
	if outcome == "served" {
		return servedCause(l)
	}
	switch reason {
	case "unknown key", "no route":
		return fmt.Sprintf("%s: %s; %s", outcome, reason, catalogAt(l, lines))
	case "all upstreams are full":
		return fmt.Sprintf("refused for load: no upstream of service %s, model %q, could begin in time", textOf(l.fields["service"]), textOf(l.fields["model"]))
	case "no upstream serves this":
		return fmt.Sprintf("refused: no open group or ready upstream of service %s, model %q, was known or left to try", textOf(l.fields["service"]), textOf(l.fields["model"]))
	}
	sends := sendsOf(l)
	if len(sends) == 0 {
		return cmp.Or(reason, outcome)
	}
	last := sends[len(sends)-1]
	return fmt.Sprintf("%s after %d sends; the last, to %s (group %q): %s", outcome, len(sends), textOf(last["upstream"]), textOf(last["group"]), cmp.Or(textOf(last["result"]), reason))
}

func servedCause(l logLine) string {
	sends := sendsOf(l)
	if len(sends) < 2 {
		return "served by the first upstream"
	}
	return fmt.Sprintf("served after %d sends; the first, to %s: %s", len(sends), textOf(sends[0]["upstream"]), textOf(sends[0]["result"]))
}

// catalogAt tells the catalog that the entry decided by, and the newest one
// that was acknowledged before.
func catalogAt(l logLine, lines []logLine) string {
	used, _ := l.fields["catalog"].(float64)
	newest, since := 0.0, time.Time{}
	for _, other := range lines {
		version, ok := other.fields["version"].(float64)
		if ok && other.message == "catalog acknowledged" && other.at.Before(l.at) && version > newest {
			newest, since = version, other.at
		}
	}
	if newest <= used {
		return fmt.Sprintf("decided by catalog %.0f, the newest", used)
	}
	return fmt.Sprintf("decided by catalog %.0f, while %.0f was acknowledged %v before", used, newest, l.at.Sub(since).Round(time.Millisecond))
}
