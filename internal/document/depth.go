package document

import "github.com/pelletier/go-toml/v2/unstable"

// findDeepKey returns the line of the first key whose tables are nested deeper than
// MaxDepth. Each part of a dotted key is a table, whose path is recorded: memory grows
// with the square of the parts. Text behind a syntax error is not checked.
func findDeepKey(text []byte) (line int, found bool) {
	var p unstable.Parser
	p.Reset(text)
	header := 0
	for p.NextExpression() {
		n := p.Expression()
		depth := 0
		switch n.Kind {
		case unstable.Table, unstable.ArrayTable:
			header = countParts(n.Key())
			depth = header
		case unstable.KeyValue:
			depth = header + keyValueDepth(n)
		}
		if depth > MaxDepth {
			k := n.Key()
			k.Next()
			return p.Shape(k.Node().Raw).Start.Line, true
		}
	}
	return 0, false
}

// keyValueDepth returns how deep a key and the tables and arrays of its value nest.
func keyValueDepth(n *unstable.Node) int {
	return countParts(n.Key()) + valueDepth(n.Value())
}

func valueDepth(n *unstable.Node) int {
	deepest := 0
	switch n.Kind {
	case unstable.InlineTable:
		for c := n.Children(); c.Next(); {
			deepest = max(deepest, keyValueDepth(c.Node()))
		}
	case unstable.Array:
		for c := n.Children(); c.Next(); {
			deepest = max(deepest, 1+valueDepth(c.Node()))
		}
	}
	return deepest
}

func countParts(k unstable.Iterator) int {
	n := 0
	for k.Next() {
		n++
	}
	return n
}
