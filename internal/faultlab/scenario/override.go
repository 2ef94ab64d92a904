package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ParseWith is Parse of a file with one key, such as load.rate or fault.0.share, set
// to another value.
func ParseWith(path string, doc []byte, key, value string) (*Scenario, error) {
	var all map[string]any
	if err := toml.Unmarshal(doc, &all); err != nil {
		return nil, decodeError(path, doc, err)
	}
	var v struct{ X any } // the value, as TOML reads it
	if toml.Unmarshal([]byte("X = "+value), &v) != nil {
		v.X = value // a bare word stands for itself
	}
	if err := setKey(all, key, v.X); err != nil {
		err.File = path
		return nil, err
	}
	text, err := toml.Marshal(all)
	if err != nil {
		return nil, &Error{File: path, Key: key, Text: err.Error()}
	}
	return Parse(path, text)
}

// setKey sets a key of a document, such as fault.0.share; tables that it lacks are
// made. An Error has no file.
func setKey(doc map[string]any, key string, value any) *Error {
	var container any = doc
	parts := strings.Split(key, ".")
	for i, part := range parts {
		isLast := i == len(parts)-1
		switch in := container.(type) {
		case map[string]any:
			if isLast {
				in[part] = value
			} else if in[part] == nil {
				in[part] = map[string]any{}
			}
			container = in[part]
		case []any:
			n, err := strconv.Atoi(part)
			if err != nil || n < 0 || n >= len(in) || isLast {
				return &Error{Key: key, Text: fmt.Sprintf("%q: a number from 0 to %d, and a key of it, are wanted", part, len(in)-1)}
			}
			container = in[n]
		default:
			return &Error{Key: key, Text: fmt.Sprintf("%q is not in a table", part)}
		}
	}
	return nil
}
