package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Type is the type of a setting.
type Type string

// Types of settings.
const (
	TypeInteger Type = "integer"
	TypeNumber  Type = "number"
	TypeString  Type = "string"
	TypeStrings Type = "list of strings"
)

// Value is the value of a setting: a number, a string or a list of strings.
// The zero Value is "not set".
type Value struct {
	kind   valueKind
	number float64
	text   string
	list   []string
}

type valueKind uint8

const (
	valueUnset valueKind = iota
	valueNumber
	valueText
	valueList
)

// Number returns a numeric value.
func Number(n float64) Value { return Value{kind: valueNumber, number: n} }

// Text returns a string value.
func Text(s string) Value { return Value{kind: valueText, text: s} }

// List returns a list of strings; it keeps its own copy.
func List(items ...string) Value {
	return Value{kind: valueList, list: append([]string{}, items...)}
}

// IsSet reports whether v holds a value.
func (v Value) IsSet() bool { return v.kind != valueUnset }

// Float returns a numeric value, 0 for any other.
func (v Value) Float() float64 { return v.number }

// Int returns a numeric value cut to an integer, 0 for any other.
func (v Value) Int() int64 { return int64(v.number) }

// Str returns a string value, "" for any other.
func (v Value) Str() string { return v.text }

// Items returns a copy of a list of strings, nil for any other.
func (v Value) Items() []string { return slices.Clone(v.list) }

// Equal reports whether two values are the same.
func (v Value) Equal(w Value) bool {
	return v.kind == w.kind && v.number == w.number && v.text == w.text && slices.Equal(v.list, w.list)
}

// String returns the value as JSON.
func (v Value) String() string {
	data, err := v.MarshalJSON()
	if err != nil {
		return "?"
	}
	return string(data)
}

// MarshalJSON implements json.Marshaler.
func (v Value) MarshalJSON() ([]byte, error) {
	switch v.kind {
	case valueNumber:
		return strconv.AppendFloat(nil, v.number, 'f', -1, 64), nil
	case valueText:
		return json.Marshal(v.text)
	case valueList:
		return json.Marshal(v.list)
	}
	return []byte("null"), nil
}

// UnmarshalJSON implements json.Unmarshaler. Booleans and objects are not
// values of any setting.
func (v *Value) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	*v = Value{}
	if len(data) == 0 {
		return fmt.Errorf("empty value, accepted: a number, a string or a list of strings")
	}
	var err error
	switch c := data[0]; {
	case c == 'n':
		return nil
	case c == '"':
		v.kind = valueText
		err = json.Unmarshal(data, &v.text)
	case c == '[':
		v.kind = valueList
		v.list = []string{}
		err = json.Unmarshal(data, &v.list)
	case c == '-' || c >= '0' && c <= '9':
		v.kind = valueNumber
		err = json.Unmarshal(data, &v.number)
	default:
		err = fmt.Errorf("found %.20s", data)
	}
	if err != nil {
		return fmt.Errorf("%w, accepted: a number, a string or a list of strings", err)
	}
	return nil
}

// typeName names the kind of value in problems.
func (v Value) typeName() string {
	switch v.kind {
	case valueNumber:
		return "number " + v.String()
	case valueText:
		return "string " + shorten(v.String())
	case valueList:
		return "list of strings"
	}
	return "no value"
}

// shorten bounds the length of a value quoted in a problem.
func shorten(s string) string {
	const longest = 80
	if len(s) <= longest {
		return s
	}
	return strings.ToValidUTF8(s[:longest], "") + "..."
}
