package document

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and column, both from 1.
type position struct {
	line, column int
}

// index maps the dotted path of every field to its position.
type index map[string]position

// indexer walks the expressions of a document and records positions.
type indexer struct {
	parser unstable.Parser
	index  index
	arrays map[string]int
	prefix string
}

// newIndex records the position of each key, table and array element.
func newIndex(text []byte) index {
	x := indexer{index: index{}, arrays: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.index
}

func (x *indexer) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.prefix = x.keys("", n.Key(), false)
	case unstable.ArrayTable:
		x.prefix = x.keys("", n.Key(), true)
	case unstable.KeyValue:
		x.keyValue(x.prefix, n)
	}
}

// keys records every part of a dotted key below prefix and returns its path.
// A part that names an array of tables means that array's last element.
func (x *indexer) keys(prefix string, k unstable.Iterator, arrayTable bool) string {
	path := prefix
	for k.Next() {
		n := k.Node()
		path = join(path, string(n.Data))
		p := x.position(n)
		x.record(path, p)
		if arrayTable && k.IsLast() {
			x.arrays[path]++
		}
		if c := x.arrays[path]; c > 0 {
			path = fmt.Sprintf("%s[%d]", path, c-1)
			x.record(path, p)
		}
	}
	return path
}

func (x *indexer) keyValue(prefix string, n *unstable.Node) {
	path := x.keys(prefix, n.Key(), false)
	x.value(path, n.Value())
}

func (x *indexer) value(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		for c := n.Children(); c.Next(); {
			x.keyValue(path, c.Node())
		}
	case unstable.Array:
		x.array(path, n)
	}
}

func (x *indexer) array(path string, n *unstable.Node) {
	i := 0
	for c := n.Children(); c.Next(); {
		if c.Node().Kind == unstable.Comment {
			continue
		}
		e := fmt.Sprintf("%s[%d]", path, i)
		if c.Node().Raw.Length > 0 {
			x.record(e, x.position(c.Node()))
		}
		x.value(e, c.Node())
		i++
	}
}

func (x *indexer) record(path string, p position) {
	if _, ok := x.index[path]; !ok {
		x.index[path] = p
	}
}

func (x *indexer) position(n *unstable.Node) position {
	s := x.parser.Shape(n.Raw).Start
	return position{line: s.Line, column: s.Column}
}

// find returns the position of a path or of its nearest recorded parent.
func (x index) find(path string) position {
	for path != "" {
		if p, ok := x[path]; ok {
			return p
		}
		path = parent(path)
	}
	return position{line: 1, column: 1}
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
