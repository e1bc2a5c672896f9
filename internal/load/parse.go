package load

import (
	"strconv"
	"strings"
)

// MaxLength is the longest header value that Parse reads, in bytes.
const MaxLength = 256

// maxCount is the greatest count in a report; greater ones are cut to it.
const maxCount = 1 << 20

// maxDigits is the most digits of an integer after RFC 9651.
const maxDigits = 15

// Parse reads the value of Header. It returns false when the value is no
// dictionary of RFC 9651, is longer than MaxLength, or holds a member of a
// report with a value of another type. Members that it does not know are
// skipped; of members with one key the last counts.
func Parse(s string) (Report, bool) {
	var r Report
	if len(s) > MaxLength {
		return r, false
	}
	p := parser{s: strings.Trim(s, " ")}
	if p.s == "" {
		return r, false
	}
	for {
		if !p.member(&r) {
			return Report{}, false
		}
		p.space()
		if p.s == "" {
			return r, true
		}
		if !p.eat(',') {
			return Report{}, false
		}
		p.space()
	}
}

// Format returns the value of Header for r.
func Format(r Report) string {
	b := make([]byte, 0, 64)
	b = strconv.AppendInt(append(b, "running="...), int64(r.Running), 10)
	b = strconv.AppendInt(append(b, ", queued="...), int64(r.Queued), 10)
	b = strconv.AppendInt(append(b, ", slots="...), int64(r.Slots), 10)
	if r.Cold {
		b = append(b, ", cold"...)
	}
	if r.Draining {
		b = append(b, ", draining"...)
	}
	return string(b)
}

// kind is the type of a bare item.
type kind int

const (
	kindOther kind = iota
	kindInteger
	kindBoolean
)

// item is a bare item; value is 0 or 1 for a boolean.
type item struct {
	kind  kind
	value int
}

// parser holds what is still to be read.
type parser struct {
	s string
}

func (p *parser) eat(c byte) bool {
	if p.s == "" || p.s[0] != c {
		return false
	}
	p.s = p.s[1:]
	return true
}

func (p *parser) space() {
	p.s = strings.TrimLeft(p.s, " \t")
}

func (p *parser) member(r *Report) bool {
	k, ok := p.key()
	if !ok {
		return false
	}
	v := item{kind: kindBoolean, value: 1}
	if p.eat('=') {
		if v, ok = p.value(); !ok {
			return false
		}
	}
	return p.parameters() && r.set(k, v)
}

func (p *parser) parameters() bool {
	for p.eat(';') {
		p.s = strings.TrimLeft(p.s, " ")
		if _, ok := p.key(); !ok {
			return false
		}
		if !p.eat('=') {
			continue
		}
		if _, ok := p.bare(); !ok {
			return false
		}
	}
	return true
}

// key reads a key: lower-case letters, digits and "_-.*", not starting with a
// digit, "-" or ".".
func (p *parser) key() (string, bool) {
	n := 0
	for n < len(p.s) && isKey(p.s[n], n == 0) {
		n++
	}
	k := p.s[:n]
	p.s = p.s[n:]
	return k, n > 0
}

func isKey(c byte, first bool) bool {
	if c >= 'a' && c <= 'z' || c == '*' {
		return true
	}
	if first {
		return false
	}
	return c >= '0' && c <= '9' || c == '_' || c == '-' || c == '.'
}

// value reads a bare item or an inner list.
func (p *parser) value() (item, bool) {
	if !p.eat('(') {
		return p.bare()
	}
	for {
		p.s = strings.TrimLeft(p.s, " ")
		if p.eat(')') {
			return item{}, true
		}
		if _, ok := p.bare(); !ok || !p.parameters() {
			return item{}, false
		}
		if p.s == "" || p.s[0] != ' ' && p.s[0] != ')' {
			return item{}, false
		}
	}
}

func (p *parser) bare() (item, bool) {
	if p.s == "" {
		return item{}, false
	}
	switch c := p.s[0]; {
	case c == '-' || c >= '0' && c <= '9':
		return p.number()
	case c == '?':
		return p.boolean()
	case c == '"':
		return item{}, p.quoted()
	case c == ':':
		return item{}, p.bytes()
	default:
		return item{}, p.token()
	}
}

// number reads an integer or a decimal; a decimal's value is not kept.
func (p *parser) number() (item, bool) {
	negative := p.eat('-')
	n := p.digits()
	if n == 0 || n > maxDigits {
		return item{}, false
	}
	v, _ := strconv.Atoi(p.s[:n])
	p.s = p.s[n:]
	if p.eat('.') {
		f := p.digits()
		p.s = p.s[f:]
		return item{}, f >= 1 && f <= 3 && n <= 12
	}
	if negative {
		v = -v
	}
	return item{kind: kindInteger, value: v}, true
}

func (p *parser) digits() int {
	n := 0
	for n < len(p.s) && p.s[n] >= '0' && p.s[n] <= '9' {
		n++
	}
	return n
}

func (p *parser) boolean() (item, bool) {
	p.s = p.s[1:]
	if p.eat('1') {
		return item{kind: kindBoolean, value: 1}, true
	}
	return item{kind: kindBoolean}, p.eat('0')
}

func (p *parser) quoted() bool {
	for n := 1; n < len(p.s); n++ {
		switch c := p.s[n]; {
		case c == '"':
			p.s = p.s[n+1:]
			return true
		case c == '\\':
			n++
			if n >= len(p.s) || p.s[n] != '"' && p.s[n] != '\\' {
				return false
			}
		case c < 0x20 || c > 0x7e:
			return false
		}
	}
	return false
}

func (p *parser) bytes() bool {
	n := strings.IndexByte(p.s[1:], ':')
	if n < 0 {
		return false
	}
	p.s = p.s[n+2:]
	return true
}

func (p *parser) token() bool {
	c := p.s[0]
	if c != '*' && (c|0x20 < 'a' || c|0x20 > 'z') {
		return false
	}
	n := 1
	for n < len(p.s) && isToken(p.s[n]) {
		n++
	}
	p.s = p.s[n:]
	return true
}

func isToken(c byte) bool {
	if c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z' {
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~:/", c) >= 0
}

// set takes a member into the report.
func (r *Report) set(k string, v item) bool {
	switch k {
	case "running":
		return setCount(&r.Running, v)
	case "queued":
		return setCount(&r.Queued, v)
	case "slots":
		return setCount(&r.Slots, v)
	case "cold":
		return setFlag(&r.Cold, v)
	case "draining":
		return setFlag(&r.Draining, v)
	}
	return true
}

func setCount(n *int, v item) bool {
	if v.kind != kindInteger || v.value < 0 {
		return false
	}
	*n = min(v.value, maxCount)
	return true
}

func setFlag(b *bool, v item) bool {
	*b = v.value == 1
	return v.kind == kindBoolean
}
