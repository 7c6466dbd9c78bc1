// Package settingsfile reads settings trees from JSON with comments, and writes
// them as JSON. Its errors give the file, line, key and accepted values.
//
// The file has the structure of the tree: each node is an object that contains
// its keys. The root also contains the objects "accounts", "services",
// "failureDomains" and "groups", a service contains "accounts", and a failure
// domain contains "services".
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

// Problem is an error in a settings file, with its position.
type Problem struct {
	File string
	// Line is 1-based.
	Line int
	settings.Problem
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Problem.Error())
}

// Unwrap returns the problem without its line.
func (p *Problem) Unwrap() error { return p.Problem }

// containers lists the names of the objects that contain nodes, by the
// collection of the enclosing node, which is "" for the root.
var containers = map[string][]string{
	"":               {"accounts", "services", "failureDomains"},
	"services":       {"accounts"},
	"failureDomains": {"services"},
}

// ParseTree parses a settings tree. The error joins a *Problem for each error
// found in the file.
func ParseTree(name string, data []byte) (*settings.Tree, error) {
	p := &parser{file: name, data: data, lines: map[settingKey]int{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p.parseNode(settings.RootPath, "", &root)
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	tree, problems := settings.NewTree(p.ops)
	for _, problem := range problems {
		p.addProblem(p.lineOf(problem.Path, problem.Key), problem)
	}
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return tree, nil
}

type settingKey struct{ path, key string }

type parser struct {
	file  string
	data  []byte
	ops   []settings.Op
	lines map[settingKey]int
	errs  []error
}

func (p *parser) addProblem(line int, problem settings.Problem) {
	p.errs = append(p.errs, &Problem{File: p.file, Line: line, Problem: problem})
}

// lineOf returns the line of a setting, or of its nearest enclosing node if the
// file does not contain the setting.
func (p *parser) lineOf(path, key string) int {
	if line, ok := p.lines[settingKey{path, key}]; ok {
		return line
	}
	for path != "" {
		if line, ok := p.lines[settingKey{path, ""}]; ok {
			return line
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
	return 1
}

func (p *parser) lineAt(offset int) int {
	return 1 + bytes.Count(p.data[:min(offset, len(p.data))], []byte("\n"))
}

// parseNode parses the object of a node. The collection is the name of the
// container of a top-level node, "" for the root, "groups" for the groups node
// and "leaf" for a nested node.
func (p *parser) parseNode(path, collection string, v *hujson.Value) {
	members, ok := p.objectMembers(path, v)
	if !ok {
		return
	}
	p.lines[settingKey{path, ""}] = p.lineAt(v.StartOffset)
	if path != settings.RootPath {
		p.ops = append(p.ops, settings.Op{Op: settings.OpSet, Path: path})
	}
	for i := range members {
		m := &members[i]
		key := m.Name.Value.(hujson.Literal).String()
		switch {
		case path == settings.RootPath && key == "groups":
			p.parseNode(settings.GroupsPath, "groups", &m.Value)
		case slices.Contains(containers[collection], key):
			p.parseContainer(strings.TrimSuffix(path, "/")+"/"+key, collection, key, &m.Value)
		default:
			p.parseSetting(path, key, m)
		}
	}
}

// parseContainer parses an object whose members are nodes. The parent is the
// collection of the enclosing node.
func (p *parser) parseContainer(path, parent, name string, v *hujson.Value) {
	members, _ := p.objectMembers(path, v)
	if parent != "" {
		name = "leaf"
	}
	for i := range members {
		id := members[i].Name.Value.(hujson.Literal).String()
		p.parseNode(path+"/"+id, name, &members[i].Value)
	}
}

// objectMembers returns the members of an object. It adds a problem if v is not
// an object or if a name occurs more than once.
func (p *parser) objectMembers(path string, v *hujson.Value) ([]hujson.ObjectMember, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addProblem(p.lineAt(v.StartOffset), settings.Problem{Code: settings.BadValue, Path: path, Message: "found " + excerpt(v), Accepted: "an object"})
		return nil, false
	}
	seen := map[string]bool{}
	for i := range object.Members {
		name := &object.Members[i].Name
		key := name.Value.(hujson.Literal).String()
		if seen[key] {
			p.addProblem(p.lineAt(name.StartOffset), settings.Problem{Code: settings.BadValue, Path: path, Key: key, Message: "duplicate name", Accepted: "each name once"})
		}
		seen[key] = true
	}
	return object.Members, true
}

func (p *parser) parseSetting(path, key string, m *hujson.ObjectMember) {
	line := p.lineAt(m.Name.StartOffset)
	p.lines[settingKey{path, key}] = line
	standard := m.Value.Clone()
	standard.Standardize()
	var value settings.Value
	if err := json.Unmarshal(standard.Pack(), &value); err != nil || !value.IsSet() {
		accepted := "a key of the settings reference"
		if k, ok := settings.Describe(key); ok {
			accepted = k.AcceptedText()
		}
		p.addProblem(line, settings.Problem{Code: settings.BadValue, Path: path, Key: key, Message: "found " + excerpt(&m.Value), Accepted: accepted})
		return
	}
	p.ops = append(p.ops, settings.Op{Op: settings.OpSet, Path: path, Key: key, Value: value})
}

func excerpt(v *hujson.Value) string {
	const maxLength = 40
	minimal := v.Clone()
	minimal.Minimize()
	text := string(minimal.Pack())
	if len(text) > maxLength {
		text = strings.ToValidUTF8(text[:maxLength], "") + "..."
	}
	return text
}

// FormatTree encodes a tree in the format that ParseTree reads.
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
		values, _ := t.LocalValues(path)
		for _, key := range slices.Sorted(maps.Keys(values)) {
			at[key] = values[key]
		}
	}
	data, err := json.MarshalIndent(root, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("format settings tree: %w", err)
	}
	return append(data, '\n'), nil
}
