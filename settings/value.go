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
// The zero Value means that the setting is not set.
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

// List returns a list value that holds a copy of items.
func List(items ...string) Value {
	return Value{kind: valueList, list: append([]string{}, items...)}
}

// IsSet reports whether v holds a value.
func (v Value) IsSet() bool { return v.kind != valueUnset }

// Float returns the number, or 0 if v is not a number.
func (v Value) Float() float64 { return v.number }

// Int returns the number truncated to an integer, or 0 if v is not a number.
func (v Value) Int() int64 { return int64(v.number) }

// Str returns the string, or "" if v is not a string.
func (v Value) Str() string { return v.text }

// Items returns a copy of the list, or nil if v is not a list.
func (v Value) Items() []string { return slices.Clone(v.list) }

// Equal reports whether v and w have the same type and content.
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

// UnmarshalJSON implements json.Unmarshaler. It rejects booleans and objects,
// which no setting accepts.
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

// describe returns the type of v, with its content for numbers and strings, for
// use in error messages.
func (v Value) describe() string {
	switch v.kind {
	case valueNumber:
		return "number " + v.String()
	case valueText:
		return "string " + truncate(v.String())
	case valueList:
		return "list of strings"
	}
	return "no value"
}

// truncate limits the length of a value that is quoted in an error message.
func truncate(s string) string {
	const maxLength = 80
	if len(s) <= maxLength {
		return s
	}
	return strings.ToValidUTF8(s[:maxLength], "") + "..."
}
