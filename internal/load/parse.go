package load

import (
	"strconv"
	"strings"
)

// MaxLength is the greatest length in bytes of a header value that Parse accepts.
const MaxLength = 256

// maxCount is the greatest count in a report; greater ones are reduced to it.
const maxCount = 1 << 20

// maxIntegerDigits is the greatest number of digits of an integer in RFC 9651.
const maxIntegerDigits = 15

// Parse parses the value of Header. It returns false if the value is empty, is not
// an RFC 9651 dictionary, is longer than MaxLength, or has a known member whose
// value is negative or of the wrong type. Unknown members are ignored, but Parse
// returns false for dates and display strings, which it doesn't support. If a key
// occurs more than once, the last member counts.
func Parse(s string) (Report, bool) {
	var r Report
	if len(s) > MaxLength {
		return r, false
	}
	p := parser{rest: strings.Trim(s, " ")}
	if p.rest == "" {
		return r, false
	}
	for {
		if !p.parseMember(&r) {
			return Report{}, false
		}
		p.skipSpace()
		if p.rest == "" {
			return r, true
		}
		if !p.accept(',') {
			return Report{}, false
		}
		p.skipSpace()
	}
}

// Format returns the value of Header for r. It leaves out ColdRemaining and Pace,
// which only the platform's own report format has.
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

// kind is the type of a bare item, as far as reports use it.
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

// parser holds the part of the value that is still to be parsed. Its methods follow
// the parsing algorithms of RFC 9651, section 4.2, and return false on a syntax
// error.
type parser struct {
	rest string
}

// accept consumes c if it comes next.
func (p *parser) accept(c byte) bool {
	if p.rest == "" || p.rest[0] != c {
		return false
	}
	p.rest = p.rest[1:]
	return true
}

func (p *parser) skipSpace() {
	p.rest = strings.TrimLeft(p.rest, " \t")
}

// parseMember parses a dictionary member and stores it in r.
func (p *parser) parseMember(r *Report) bool {
	k, ok := p.parseKey()
	if !ok {
		return false
	}
	v := item{kind: kindBoolean, value: 1}
	if p.accept('=') {
		if v, ok = p.parseValue(); !ok {
			return false
		}
	}
	return p.skipParameters() && r.setMember(k, v)
}

func (p *parser) skipParameters() bool {
	for p.accept(';') {
		p.rest = strings.TrimLeft(p.rest, " ")
		if _, ok := p.parseKey(); !ok {
			return false
		}
		if !p.accept('=') {
			continue
		}
		if _, ok := p.parseBareItem(); !ok {
			return false
		}
	}
	return true
}

// parseKey parses a key, which consists of lower-case letters, digits and "_-.*"
// and starts with a letter or "*".
func (p *parser) parseKey() (string, bool) {
	n := 0
	for n < len(p.rest) && isKeyChar(p.rest[n], n == 0) {
		n++
	}
	k := p.rest[:n]
	p.rest = p.rest[n:]
	return k, n > 0
}

func isKeyChar(c byte, first bool) bool {
	if c >= 'a' && c <= 'z' || c == '*' {
		return true
	}
	if first {
		return false
	}
	return c >= '0' && c <= '9' || c == '_' || c == '-' || c == '.'
}

// parseValue parses a bare item or skips an inner list.
func (p *parser) parseValue() (item, bool) {
	if !p.accept('(') {
		return p.parseBareItem()
	}
	for {
		p.rest = strings.TrimLeft(p.rest, " ")
		if p.accept(')') {
			return item{}, true
		}
		if _, ok := p.parseBareItem(); !ok || !p.skipParameters() {
			return item{}, false
		}
		if p.rest == "" || p.rest[0] != ' ' && p.rest[0] != ')' {
			return item{}, false
		}
	}
}

// parseBareItem parses an integer or boolean and skips items of other types.
func (p *parser) parseBareItem() (item, bool) {
	if p.rest == "" {
		return item{}, false
	}
	switch c := p.rest[0]; {
	case c == '-' || c >= '0' && c <= '9':
		return p.parseNumber()
	case c == '?':
		return p.parseBoolean()
	case c == '"':
		return item{}, p.skipString()
	case c == ':':
		return item{}, p.skipByteSequence()
	default:
		return item{}, p.skipToken()
	}
}

// parseNumber parses an integer or skips a decimal, which has at most 12 digits
// before the point and 3 after it.
func (p *parser) parseNumber() (item, bool) {
	negative := p.accept('-')
	n := p.countDigits()
	if n == 0 || n > maxIntegerDigits {
		return item{}, false
	}
	v, _ := strconv.Atoi(p.rest[:n])
	p.rest = p.rest[n:]
	if p.accept('.') {
		f := p.countDigits()
		p.rest = p.rest[f:]
		return item{}, f >= 1 && f <= 3 && n <= 12
	}
	if negative {
		v = -v
	}
	return item{kind: kindInteger, value: v}, true
}

// countDigits returns the number of leading digits.
func (p *parser) countDigits() int {
	n := 0
	for n < len(p.rest) && p.rest[n] >= '0' && p.rest[n] <= '9' {
		n++
	}
	return n
}

func (p *parser) parseBoolean() (item, bool) {
	p.rest = p.rest[1:]
	if p.accept('1') {
		return item{kind: kindBoolean, value: 1}, true
	}
	return item{kind: kindBoolean}, p.accept('0')
}

func (p *parser) skipString() bool {
	for n := 1; n < len(p.rest); n++ {
		switch c := p.rest[n]; {
		case c == '"':
			p.rest = p.rest[n+1:]
			return true
		case c == '\\':
			n++
			if n >= len(p.rest) || p.rest[n] != '"' && p.rest[n] != '\\' {
				return false
			}
		case c < 0x20 || c > 0x7e:
			return false
		}
	}
	return false
}

// skipByteSequence skips a byte sequence without checking that it is Base64.
func (p *parser) skipByteSequence() bool {
	n := strings.IndexByte(p.rest[1:], ':')
	if n < 0 {
		return false
	}
	p.rest = p.rest[n+2:]
	return true
}

func (p *parser) skipToken() bool {
	c := p.rest[0]
	if c != '*' && (c|0x20 < 'a' || c|0x20 > 'z') {
		return false
	}
	n := 1
	for n < len(p.rest) && isTokenChar(p.rest[n]) {
		n++
	}
	p.rest = p.rest[n:]
	return true
}

func isTokenChar(c byte) bool {
	if c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z' {
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~:/", c) >= 0
}

// setMember stores the value of a member. It returns false if the value of a known
// member is invalid.
func (r *Report) setMember(k string, v item) bool {
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
