package scenario

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// walkKeys calls visit for each table and key of a document, with its full name, such
// as load.rate or fault[1].kind, and its line. It stops when visit returns false.
func walkKeys(doc []byte, visit func(key string, line int, table bool) bool) {
	var p unstable.Parser
	p.Reset(doc)
	table, count := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			parts = append(parts, string(n.Data))
			line = p.Shape(n.Raw).Start.Line
		}
		name := strings.Join(parts, ".")
		switch {
		case e.Kind == unstable.ArrayTable:
			count[name]++
			table = fmt.Sprintf("%s[%d]", name, count[name]-1)
			name = table
		case e.Kind == unstable.Table:
			table = name
		case e.Kind == unstable.KeyValue && table != "":
			name = table + "." + name
		}
		if !visit(name, line, e.Kind != unstable.KeyValue) {
			return
		}
	}
}

// lineOf returns the line of a key, or the line of its table if the document does not
// have the key, or 0 if it has neither.
func lineOf(doc []byte, key string) (found int) {
	walkKeys(doc, func(name string, line int, table bool) bool {
		if name == key || table && strings.HasPrefix(key, name+".") {
			found = line
		}
		return name != key
	})
	return found
}

// keyAt returns the key that is set in a line; empty if none is.
func keyAt(doc []byte, line int) (key string) {
	walkKeys(doc, func(name string, keyLine int, table bool) bool {
		if keyLine == line && !table {
			key = name
		}
		return keyLine <= line
	})
	return key
}
