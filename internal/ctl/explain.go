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

// explainWindow is the time before and after a request in which lines about its
// upstreams and groups are shown. A stalled group is detected within a second
// and re-formed within a few more.
const explainWindow = 4 * time.Second

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

type explainRequestCommand struct {
	app  *App
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Files   []string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

func (a *App) addExplain() error {
	_, err := a.Parser.AddCommand("explain", "Explain the outcome of a request from log files",
		"Reads the logs of several processes and prints, in order of time, the lines of a request and of the upstreams, groups and catalog that affected it, followed by the cause of the outcome. A FILE of - is the standard input.",
		&explainRequestCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *explainRequestCommand) Execute([]string) error {
	lines, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	return explain(c.app.Out, c.Args.Request, lines)
}

// logLine is a parsed line of a JSON log.
type logLine struct {
	at       time.Time
	message  string
	instance string
	fields   map[string]any
}

// readLogs returns the lines of all files.
func readLogs(names []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range names {
		read, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
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

// parseLog reads lines of JSON. Text before the first brace of a line, such as
// the time and host that a log collector adds, is ignored. Lines that are not
// JSON or have no valid time are skipped.
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
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", asString(fields["ts"]))
		if err != nil {
			continue
		}
		lines = append(lines, logLine{at, asString(fields["msg"]), asString(fields["instance"]), fields})
	}
	return lines, scanner.Err()
}

func asString(v any) string {
	text, _ := v.(string)
	return text
}

// explain prints the lines of a request, the related lines from the time around
// it, and the cause of its outcome.
func explain(out io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var requestLines []logLine
	for _, l := range lines {
		if asString(l.fields["request"]) == id {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return exitErrorf(ExitError, "no log line for request %q", id)
	}
	targets := sendTargets(requestLines)
	first, last := timeRange(requestLines)
	for _, l := range lines {
		matches := asString(l.fields["request"]) == id
		if matches || !l.at.Before(first) && !l.at.After(last) && l.relatesTo(targets) {
			fmt.Fprintln(out, l.format())
		}
	}
	for _, l := range requestLines {
		if l.message == "request" {
			fmt.Fprintf(out, "cause: %s\n", requestCause(l, lines))
		}
	}
	return nil
}

// timeRange returns the period in which lines may be related to a request: from
// its start to its end, extended by explainWindow on both sides.
func timeRange(requestLines []logLine) (first, last time.Time) {
	first, last = requestLines[0].at, requestLines[len(requestLines)-1].at
	for _, l := range requestLines {
		if ms, ok := l.fields["ms"].(float64); ok {
			if start := l.at.Add(-time.Duration(ms) * time.Millisecond); start.Before(first) {
				first = start
			}
		}
	}
	return first.Add(-explainWindow), last.Add(explainWindow)
}

// sendTargets returns the set of upstreams and groups that a request was sent to.
func sendTargets(requestLines []logLine) map[string]bool {
	targets := map[string]bool{}
	for _, l := range requestLines {
		for _, s := range sendsOf(l) {
			for _, key := range []string{"upstream", "group"} {
				if name := asString(s[key]); name != "" {
					targets[name] = true
				}
			}
		}
	}
	return targets
}

func sendsOf(l logLine) []map[string]any {
	var sends []map[string]any
	values, _ := l.fields["sends"].([]any)
	for _, s := range values {
		if send, ok := s.(map[string]any); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

// relatesTo reports whether a line is about one of the targets, or about an
// event that affects the whole instance.
func (l *logLine) relatesTo(targets map[string]bool) bool {
	switch l.message {
	case "request", "groups", "subscriber joined", "subscriber dropped":
		return false
	case "instance started", "stopping", "leadership changed", "catalog acknowledged":
		return true
	}
	return targets[asString(l.fields["upstream"])] || targets[asString(l.fields["group"])]
}

// omittedFields are the fields that format prints in its prefix or leaves out.
var omittedFields = []string{"ts", "msg", "instance", "level", "errorVerbose"}

func (l *logLine) format() string {
	keys := make([]string, 0, len(l.fields))
	for key := range l.fields {
		if !slices.Contains(omittedFields, key) {
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

// requestCause describes in one line why a request had its outcome.
func requestCause(l logLine, lines []logLine) string {
	outcome, reason := asString(l.fields["outcome"]), asString(l.fields["reason"])
	if outcome == "served" {
		return servedCause(l)
	}
	switch reason {
	case "unknown key", "no route":
		return fmt.Sprintf("%s: %s; %s", outcome, reason, describeCatalog(l, lines))
	case "all upstreams are full":
		return fmt.Sprintf("refused for load: no upstream of service %s, model %q had capacity in time", asString(l.fields["service"]), asString(l.fields["model"]))
	case "no upstream serves this":
		return fmt.Sprintf("refused: no untried open group or ready upstream of service %s, model %q was known", asString(l.fields["service"]), asString(l.fields["model"]))
	}
	sends := sendsOf(l)
	if len(sends) == 0 {
		return cmp.Or(reason, outcome)
	}
	last := sends[len(sends)-1]
	return fmt.Sprintf("%s after %d sends; the last, to %s (group %q): %s", outcome, len(sends), asString(last["upstream"]), asString(last["group"]), cmp.Or(asString(last["result"]), reason))
}

func servedCause(l logLine) string {
	sends := sendsOf(l)
	if len(sends) < 2 {
		return "served by the first upstream"
	}
	return fmt.Sprintf("served after %d sends; the first, to %s: %s", len(sends), asString(sends[0]["upstream"]), asString(sends[0]["result"]))
}

// describeCatalog reports the catalog version that the entry used and, if newer,
// the latest version that had been acknowledged by then.
func describeCatalog(l logLine, lines []logLine) string {
	used, _ := l.fields["catalog"].(float64)
	newest, since := 0.0, time.Time{}
	for _, other := range lines {
		version, ok := other.fields["version"].(float64)
		if ok && other.message == "catalog acknowledged" && other.at.Before(l.at) && version > newest {
			newest, since = version, other.at
		}
	}
	if newest <= used {
		return fmt.Sprintf("decided with catalog %.0f, the newest", used)
	}
	return fmt.Sprintf("decided with catalog %.0f, although %.0f was acknowledged %v before", used, newest, l.at.Sub(since).Round(time.Millisecond))
}
