package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an error in a settings file, with its position.
type Problem struct {
	File string
	// Line is 1-based.
	Line int
	// Path is the JSON pointer of the field.
	Path    string
	Message string
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// document is a parsed settings file that maps fields to line numbers.
type document struct {
	name string
	data []byte
	root hujson.Value
}

// decode decodes data into target and rejects keys that target does not have.
func decode(name string, data []byte, target any) (*document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	doc := &document{name: name, data: data, root: root}
	if err := doc.checkKeys("", &doc.root, reflect.TypeOf(target).Elem()); err != nil {
		return nil, err
	}
	standard := root.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), target); err != nil {
		return nil, doc.typeError(err)
	}
	return doc, nil
}

// checkKeys rejects object keys without a matching field in the Go type.
func (d *document) checkKeys(path string, v *hujson.Value, t reflect.Type) error {
	switch node := v.Value.(type) {
	case *hujson.Object:
		if t.Kind() != reflect.Struct {
			return nil
		}
		fields := jsonFields(t)
		for i := range node.Members {
			m := &node.Members[i]
			key := m.Name.Value.(hujson.Literal).String()
			field, ok := fields[key]
			if !ok {
				return d.problem(path+"/"+key, m.Name.StartOffset, "unknown key")
			}
			if err := d.checkKeys(path+"/"+key, &m.Value, field); err != nil {
				return err
			}
		}
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i := range node.Elements {
			if err := d.checkKeys(fmt.Sprintf("%s/%d", path, i), &node.Elements[i], t.Elem()); err != nil {
				return err
			}
		}
	}
	return nil
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = t.Field(i).Type
	}
	return fields
}

func (d *document) typeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return fmt.Errorf("%s: %w", d.name, err)
	}
	path := "/" + strings.ReplaceAll(mismatch.Field, ".", "/")
	return d.problem(path, int(mismatch.Offset), fmt.Sprintf("found %s, accepted: %s", mismatch.Value, mismatch.Type))
}

// errorf returns a Problem at the line of the field, or of its nearest existing
// parent.
func (d *document) errorf(path, format string, args ...any) error {
	for at := path; ; at = at[:strings.LastIndexByte(at, '/')] {
		if v := d.root.Find(at); v != nil {
			return d.problem(path, v.StartOffset, fmt.Sprintf(format, args...))
		}
	}
}

func (d *document) problem(path string, offset int, message string) error {
	offset = min(offset, len(d.data))
	line := 1 + bytes.Count(d.data[:offset], []byte("\n"))
	return &Problem{File: d.name, Line: line, Path: path, Message: message}
}
