// Package document decodes TOML into structs and reports every wrong, unknown
// or missing field with its place.
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

// MaxSize is the largest document that Decode reads, in bytes.
const MaxSize = 1 << 20

// MaxDepth is the deepest nesting of tables and arrays that Decode follows.
const MaxDepth = 32

// optional is the value of the struct tag `document` for a field that may be
// left out.
const optional = "optional"

// hidden is the value of the same tag for a field that no document holds.
const hidden = "-"

// Document is a decoded text that can tell where each field stands.
type Document struct {
	name  string
	index index
}

// Place returns the place of a field, given as a dotted path.
func (d *Document) Place(field string) finding.Place {
	p := d.index.find(field)
	return finding.Place{Value: d.name, Line: p.line, Column: p.column, Field: field}
}

// Decode fills the struct that out points to from text and returns what is
// wrong. A field without the tag `document:"optional"` must be present.
// Supported fields are strings, booleans, integers, floats, time.Duration
// (as text such as "250ms"), encoding.TextUnmarshaler, and structs and slices
// of these.
func Decode(name string, text []byte, out any) (*Document, []finding.Finding) {
	d := &decoder{doc: &Document{name: name, index: index{}}}
	m, ok := d.parse(text)
	if !ok {
		return d.doc, d.found.All()
	}
	d.table("", m, reflect.ValueOf(out).Elem())
	return d.doc, d.found.All()
}

type decoder struct {
	doc   *Document
	found finding.List
}

func (d *decoder) parse(text []byte) (map[string]any, bool) {
	whole := finding.Place{Value: d.doc.name}
	if len(text) > MaxSize {
		d.found.Add(whole, "is %d bytes long, over the limit of %d", len(text), MaxSize)
		return nil, false
	}
	if !utf8.Valid(text) {
		d.found.Add(whole, "is not valid UTF-8")
		return nil, false
	}
	if depth(text) > MaxDepth {
		d.found.Add(whole, "is nested deeper than %d", MaxDepth)
		return nil, false
	}
	m := map[string]any{}
	err := toml.Unmarshal(text, &m)
	if e := (*toml.DecodeError)(nil); errors.As(err, &e) {
		r, c := e.Position()
		p := finding.Place{Value: d.doc.name, Line: r, Column: c}
		d.found.Add(p, "%s", e.Error())
		return nil, false
	}
	if err != nil {
		d.found.Add(whole, "%s", err.Error())
		return nil, false
	}
	d.doc.index = newIndex(text)
	return m, true
}

// depth returns an upper bound on the nesting of brackets in text.
func depth(text []byte) int {
	n, most := 0, 0
	for _, b := range text {
		switch b {
		case '[', '{':
			n++
			most = max(most, n)
		case ']', '}':
			n--
		}
	}
	return most
}

func (d *decoder) add(path, format string, args ...any) {
	d.found.Add(d.doc.Place(path), format, args...)
}

func (d *decoder) table(path string, m map[string]any, v reflect.Value) {
	t := v.Type()
	known := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() || f.Tag.Get("document") == hidden {
			continue
		}
		known[f.Name] = true
		d.field(join(path, f.Name), m, f, v.Field(i))
	}
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if !known[k] {
			d.add(join(path, k), "unknown field")
		}
	}
}

func (d *decoder) field(path string, m map[string]any, f reflect.StructField, v reflect.Value) {
	x, ok := m[f.Name]
	if ok {
		d.value(path, x, v)
		return
	}
	if f.Tag.Get("document") != optional {
		d.add(path, "missing")
	}
}

func (d *decoder) value(path string, x any, v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		d.duration(path, x, v)
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, x, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(path, x, v)
	case reflect.Slice:
		d.slice(path, x, v)
	case reflect.Float64:
		d.float(path, x, v)
	case reflect.Int, reflect.Int64:
		d.integer(path, x, v)
	default:
		d.scalar(path, x, v)
	}
}

func (d *decoder) structure(path string, x any, v reflect.Value) {
	m, ok := x.(map[string]any)
	if !ok {
		d.add(path, "must be a table, is %s", kindOf(x))
		return
	}
	d.table(path, m, v)
}

func (d *decoder) slice(path string, x any, v reflect.Value) {
	a, ok := x.([]any)
	if !ok {
		d.add(path, "must be an array, is %s", kindOf(x))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(a), len(a)))
	for i, e := range a {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, v.Index(i))
	}
}

func (d *decoder) duration(path string, x any, v reflect.Value) {
	s, ok := x.(string)
	if !ok {
		d.add(path, "must be a duration such as \"250ms\", is %s", kindOf(x))
		return
	}
	t, err := time.ParseDuration(s)
	if err != nil {
		d.add(path, "must be a duration such as \"250ms\", is %q", s)
		return
	}
	v.SetInt(int64(t))
}

func (d *decoder) text(path string, x any, u encoding.TextUnmarshaler) {
	s, ok := x.(string)
	if !ok {
		d.add(path, "must be a string, is %s", kindOf(x))
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.add(path, "%s", err.Error())
	}
}

func (d *decoder) float(path string, x any, v reflect.Value) {
	switch n := x.(type) {
	case int64:
		v.SetFloat(float64(n))
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			d.add(path, "must be a finite number")
			return
		}
		v.SetFloat(n)
	default:
		d.add(path, "must be a number, is %s", kindOf(x))
	}
}

func (d *decoder) integer(path string, x any, v reflect.Value) {
	n, ok := x.(int64)
	if !ok {
		d.add(path, "must be a whole number, is %s", kindOf(x))
		return
	}
	v.SetInt(n)
}

func (d *decoder) scalar(path string, x any, v reflect.Value) {
	r := reflect.ValueOf(x)
	if r.Kind() != v.Kind() {
		d.add(path, "must be a %s, is %s", v.Kind(), kindOf(x))
		return
	}
	v.Set(r.Convert(v.Type()))
}

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
		return "a number"
	}
	return "a date or time"
}
