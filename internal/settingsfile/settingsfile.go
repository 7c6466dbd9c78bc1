// Package settingsfile reads a settings tree from JSON with comments, and
// writes one. Its errors state file, line, key and what is accepted.
//
// The file has the shape of the tree: the object of a node holds its keys; the
// root also holds the objects "accounts", "services", "failureDomains" and
// "groups", a service "accounts", and a failure domain "services".
package settingsfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/bluebellfield/bluebellfield/settings"
)

// Problem is a fault of a settings file and where it stands.
type Problem struct {
	File string
	// Line counts from 1.
	Line int
	settings.Problem
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Problem.Error())
}

// Unwrap returns the problem without its line.
func (p *Problem) Unwrap() error { return p.Problem }

// containers names the objects that hold nodes, by the kind of node that they
// stand in: the depth of its path is 0 for the root and 2 for a service.
var containers = map[string][]string{
	"":               {"accounts", "services", "failureDomains"},
	"services":       {"accounts"},
	"failureDomains": {"services"},
}

// ParseTree reads a tree. The error joins a *Problem for each fault.
func ParseTree(name string, data []byte) (*settings.Tree, error) {
	p := &parser{file: name, data: data, lines: map[place]int{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p.node(settings.RootPath, "", &root)
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	tree, problems := settings.NewTree(p.ops)
	for _, problem := range problems {
		p.fail(p.line(problem.Path, problem.Key), problem)
	}
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return tree, nil
}

type place struct{ path, key string }

type parser struct {
	file  string
	data  []byte
	ops   []settings.Op
	lines map[place]int
	errs  []error
}

func (p *parser) fail(line int, problem settings.Problem) {
	p.errs = append(p.errs, &Problem{File: p.file, Line: line, Problem: problem})
}

// line returns the line of a setting, of its node, or of the nearest node
// above it that stands in the file.
func (p *parser) line(path, key string) int {
	if line, ok := p.lines[place{path, key}]; ok {
		return line
	}
	for path != "" {
		if line, ok := p.lines[place{path, ""}]; ok {
			return line
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
	return 1
}

func (p *parser) lineAt(offset int) int {
	return 1 + bytes.Count(p.data[:min(offset, len(p.data))], []byte("\n"))
}

// node reads the object of a node. In names the container that the node
// stands in, "" for the root and for a node that holds no others.
func (p *parser) node(path, in string, v *hujson.Value) {
	members, ok := p.members(path, v)
	if !ok {
		return
	}
	p.lines[place{path, ""}] = p.lineAt(v.StartOffset)
	if path != settings.RootPath {
		p.ops = append(p.ops, settings.Op{Op: settings.OpSet, Path: path})
	}
	for i := range members {
		m := &members[i]
		key := m.Name.Value.(hujson.Literal).String()
		switch {
		case path == settings.RootPath && key == "groups":
			p.node(settings.GroupsPath, "groups", &m.Value)
		case slices.Contains(containers[in], key):
			p.container(strings.TrimSuffix(path, "/")+"/"+key, in, key, &m.Value)
		default:
			p.setting(path, key, m)
		}
	}
}

// container reads an object whose members are nodes.
func (p *parser) container(path, in, name string, v *hujson.Value) {
	members, _ := p.members(path, v)
	if in != "" {
		name = "leaf"
	}
	for i := range members {
		id := members[i].Name.Value.(hujson.Literal).String()
		p.node(path+"/"+id, name, &members[i].Value)
	}
}

// members returns the members of an object, of which no two have a name in
// common.
func (p *parser) members(path string, v *hujson.Value) ([]hujson.ObjectMember, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.fail(p.lineAt(v.StartOffset), settings.Problem{Code: settings.BadValue, Path: path, Message: "found " + quote(v), Accepted: "an object"})
		return nil, false
	}
	seen := map[string]bool{}
	for i := range object.Members {
		name := &object.Members[i].Name
		key := name.Value.(hujson.Literal).String()
		if seen[key] {
			p.fail(p.lineAt(name.StartOffset), settings.Problem{Code: settings.BadValue, Path: path, Key: key, Message: "stands twice", Accepted: "each name once"})
		}
		seen[key] = true
	}
	return object.Members, true
}

func (p *parser) setting(path, key string, m *hujson.ObjectMember) {
	line := p.lineAt(m.Name.StartOffset)
	p.lines[place{path, key}] = line
	standard := m.Value.Clone()
	standard.Standardize()
	var value settings.Value
	if err := json.Unmarshal(standard.Pack(), &value); err != nil || !value.IsSet() {
		accepted := "a key of the settings reference"
		if k, ok := settings.Describe(key); ok {
			accepted = k.AcceptedText()
		}
		p.fail(line, settings.Problem{Code: settings.BadValue, Path: path, Key: key, Message: "found " + quote(&m.Value), Accepted: accepted})
		return
	}
	p.ops = append(p.ops, settings.Op{Op: settings.OpSet, Path: path, Key: key, Value: value})
}

func quote(v *hujson.Value) string {
	const longest = 40
	minimal := v.Clone()
	minimal.Minimize()
	text := string(minimal.Pack())
	if len(text) > longest {
		text = strings.ToValidUTF8(text[:longest], "") + "..."
	}
	return text
}

// FormatTree writes a tree in the form that ParseTree reads.
func FormatTree(t *settings.Tree) ([]byte, error) {
	root := map[string]any{}
	for _, path := range t.Paths() {
		at := root
		if path != settings.RootPath {
			for _, part := range strings.Split(path, "/")[1:] {
				next, ok := at[part].(map[string]any)
				if !ok {
					next = map[string]any{}
					at[part] = next
				}
				at = next
			}
		}
		own, _ := t.Own(path)
		for _, key := range slices.Sorted(maps.Keys(own)) {
			at[key] = own[key]
		}
	}
	data, err := json.MarshalIndent(root, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("format settings tree: %w", err)
	}
	return append(data, '\n'), nil
}
