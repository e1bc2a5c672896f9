// Package document decodes TOML into structs and reports every invalid, unknown
// or missing field with its position.
package document

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"

	"lentilbend.example/internal/finding"
)

// MaxSize is the size of the largest document that Decode accepts, in bytes.
const MaxSize = 1 << 20

// MaxDepth is the deepest nesting of tables and arrays that Decode accepts.
const MaxDepth = 32

// optional is the value of the struct tag `document` for a field that may be
// missing.
const optional = "optional"

// ignored is the value of the same tag for a field that is not decoded. In a
// document it is reported as unknown.
const ignored = "-"

// Document holds the positions of the fields of a decoded text.
type Document struct {
	name      string
	positions positions
}

// Place returns the position of a field given as a dotted path, such as
// "Server[3].Address". If the text does not have the field, it is the position of
// the innermost table or array around it.
func (d *Document) Place(field string) finding.Place {
	p := d.positions.find(field)
	return finding.Place{Value: d.name, Line: p.line, Column: p.column, Field: field}
}

// Decode decodes text into the struct that out points to and returns all
// findings, whose places have name as their Value. A field without the tag
// `document:"optional"` must be present. Supported field types are string, bool,
// int, int64, float64, time.Duration (as text such as "250ms"),
// encoding.TextUnmarshaler, and structs and slices of these.
func Decode(name string, text []byte, out any) (*Document, []finding.Finding) {
	d := &decoder{doc: &Document{name: name, positions: positions{}}}
	m, ok := d.parse(text)
	if !ok {
		return d.doc, d.findings.All()
	}
	d.decodeTable("", m, reflect.ValueOf(out).Elem())
	return d.doc, d.findings.All()
}

type decoder struct {
	doc      *Document
	findings finding.List
}

// parse checks the limits of the text and returns its top-level table.
func (d *decoder) parse(text []byte) (map[string]any, bool) {
	whole := finding.Place{Value: d.doc.name}
	if len(text) > MaxSize {
		d.findings.Add(whole, "is %d bytes long, over the limit of %d", len(text), MaxSize)
		return nil, false
	}
	if !utf8.Valid(text) {
		d.findings.Add(whole, "is not valid UTF-8")
		return nil, false
	}
	if nestingDepth(text) > MaxDepth {
		d.findings.Add(whole, "is nested deeper than %d", MaxDepth)
		return nil, false
	}
	if line, ok := findDeepKey(text); ok {
		d.findings.Add(finding.Place{Value: d.doc.name, Line: line, Column: 1}, "has a key that is nested deeper than %d", MaxDepth)
		return nil, false
	}
	m := map[string]any{}
	err := toml.Unmarshal(text, &m)
	if e := (*toml.DecodeError)(nil); errors.As(err, &e) {
		r, c := e.Position()
		p := finding.Place{Value: d.doc.name, Line: r, Column: c}
		d.findings.Add(p, "%s", e.Error())
		return nil, false
	}
	if err != nil {
		d.findings.Add(whole, "%s", err.Error())
		return nil, false
	}
	d.doc.positions = newPositions(text)
	return m, true
}

// nestingDepth returns the deepest nesting of brackets and braces in text. It is
// an estimate, since those in strings and comments count too.
func nestingDepth(text []byte) int {
	n, deepest := 0, 0
	for _, b := range text {
		switch b {
		case '[', '{':
			n++
			deepest = max(deepest, n)
		case ']', '}':
			n--
		}
	}
	return deepest
}

func (d *decoder) addFinding(path, format string, args ...any) {
	d.findings.Add(d.doc.Place(path), format, args...)
}

func (d *decoder) decodeTable(path string, m map[string]any, v reflect.Value) {
	t := v.Type()
	known := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() || f.Tag.Get("document") == ignored {
			continue
		}
		known[f.Name] = true
		d.decodeField(join(path, f.Name), m, f, v.Field(i))
	}
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if !known[k] {
			d.addFinding(join(path, k), "unknown field")
		}
	}
}

func (d *decoder) decodeField(path string, m map[string]any, f reflect.StructField, v reflect.Value) {
	x, ok := m[f.Name]
	if ok {
		d.decodeValue(path, x, v)
		return
	}
	if f.Tag.Get("document") != optional {
		d.addFinding(path, "missing")
	}
}

func (d *decoder) decodeValue(path string, x any, v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		d.decodeDuration(path, x, v)
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, x, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, x, v)
	case reflect.Slice:
		d.decodeSlice(path, x, v)
	case reflect.Float64:
		d.decodeFloat(path, x, v)
	case reflect.Int, reflect.Int64:
		d.decodeInteger(path, x, v)
	default:
		d.decodeScalar(path, x, v)
	}
}

func (d *decoder) decodeStruct(path string, x any, v reflect.Value) {
	m, ok := x.(map[string]any)
	if !ok {
		d.addFinding(path, "must be a table, but is %s", kindOf(x))
		return
	}
	d.decodeTable(path, m, v)
}

func (d *decoder) decodeSlice(path string, x any, v reflect.Value) {
	a, ok := x.([]any)
	if !ok {
		d.addFinding(path, "must be an array, but is %s", kindOf(x))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(a), len(a)))
	for i, e := range a {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, v.Index(i))
	}
}

func (d *decoder) decodeDuration(path string, x any, v reflect.Value) {
	s, ok := x.(string)
	if !ok {
		d.addFinding(path, "must be a duration such as \"250ms\", but is %s", kindOf(x))
		return
	}
	t, err := time.ParseDuration(s)
	if err != nil {
		d.addFinding(path, "must be a duration such as \"250ms\", but is %q", s)
		return
	}
	v.SetInt(int64(t))
}

func (d *decoder) decodeText(path string, x any, u encoding.TextUnmarshaler) {
	s, ok := x.(string)
	if !ok {
		d.addFinding(path, "must be a string, but is %s", kindOf(x))
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.addFinding(path, "%s", err.Error())
	}
}

func (d *decoder) decodeFloat(path string, x any, v reflect.Value) {
	switch n := x.(type) {
	case int64:
		v.SetFloat(float64(n))
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			d.addFinding(path, "must be a finite number")
			return
		}
		v.SetFloat(n)
	default:
		d.addFinding(path, "must be a number, but is %s", kindOf(x))
	}
}

func (d *decoder) decodeInteger(path string, x any, v reflect.Value) {
	n, ok := x.(int64)
	if !ok {
		d.addFinding(path, "must be a whole number, but is %s", kindOf(x))
		return
	}
	v.SetInt(n)
}

func (d *decoder) decodeScalar(path string, x any, v reflect.Value) {
	r := reflect.ValueOf(x)
	if r.Kind() != v.Kind() {
		d.addFinding(path, "must be a %s, but is %s", v.Kind(), kindOf(x))
		return
	}
	v.Set(r.Convert(v.Type()))
}

// kindOf returns the TOML type of a decoded value, for findings.
func kindOf(x any) string {
	switch x.(type) {
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "a whole number"
	case float64:
		return "a floating-point number"
	}
	return "a date or time"
}
