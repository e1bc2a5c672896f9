package document

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and column, both from 1.
type position struct {
	line, column int
}

// positions maps the dotted path of a field, table or array element to its
// position.
type positions map[string]position

// indexer walks the expressions of a document and records their positions.
type indexer struct {
	parser    unstable.Parser
	positions positions
	// arrayLengths counts the elements so far of each array of tables, by path.
	arrayLengths map[string]int
	// prefix is the path of the table that the current expression belongs to.
	prefix string
}

// newPositions returns the position of each key, table and array element in text.
func newPositions(text []byte) positions {
	x := indexer{positions: positions{}, arrayLengths: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.indexExpression(x.parser.Expression())
	}
	return x.positions
}

func (x *indexer) indexExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.prefix = x.indexKeys("", n.Key(), false)
	case unstable.ArrayTable:
		x.prefix = x.indexKeys("", n.Key(), true)
	case unstable.KeyValue:
		x.indexKeyValue(x.prefix, n)
	}
}

// indexKeys records the position of every part of a dotted key below prefix and
// returns the path of the key. A part that names an array of tables refers to the
// last element of the array, as TOML defines it.
func (x *indexer) indexKeys(prefix string, k unstable.Iterator, arrayTable bool) string {
	path := prefix
	for k.Next() {
		n := k.Node()
		path = join(path, string(n.Data))
		p := x.position(n)
		x.record(path, p)
		if arrayTable && k.IsLast() {
			x.arrayLengths[path]++
		}
		if c := x.arrayLengths[path]; c > 0 {
			path = fmt.Sprintf("%s[%d]", path, c-1)
			x.record(path, p)
		}
	}
	return path
}

func (x *indexer) indexKeyValue(prefix string, n *unstable.Node) {
	path := x.indexKeys(prefix, n.Key(), false)
	x.indexValue(path, n.Value())
}

func (x *indexer) indexValue(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		for c := n.Children(); c.Next(); {
			x.indexKeyValue(path, c.Node())
		}
	case unstable.Array:
		x.indexArray(path, n)
	}
}

func (x *indexer) indexArray(path string, n *unstable.Node) {
	i := 0
	for c := n.Children(); c.Next(); {
		if c.Node().Kind == unstable.Comment {
			continue
		}
		e := fmt.Sprintf("%s[%d]", path, i)
		if c.Node().Raw.Length > 0 {
			x.record(e, x.position(c.Node()))
		}
		x.indexValue(e, c.Node())
		i++
	}
}

// record keeps the first position of a path.
func (x *indexer) record(path string, p position) {
	if _, ok := x.positions[path]; !ok {
		x.positions[path] = p
	}
}

func (x *indexer) position(n *unstable.Node) position {
	s := x.parser.Shape(n.Raw).Start
	return position{line: s.Line, column: s.Column}
}

// find returns the position of a path or of its nearest recorded parent, or else
// the start of the document.
func (x positions) find(path string) position {
	for path != "" {
		if p, ok := x[path]; ok {
			return p
		}
		path = parent(path)
	}
	return position{line: 1, column: 1}
}

// parent returns the path without its last key or array index.
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
