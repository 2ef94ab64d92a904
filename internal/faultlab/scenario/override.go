package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ParseWith parses a file like Parse, with one key, such as load.rate or
// fault.0.share, set to another value.
func ParseWith(path string, doc []byte, key, value string) (*Scenario, error) {
	var all map[string]any
	if err := toml.Unmarshal(doc, &all); err != nil {
		return nil, decodeError(path, doc, err)
	}
	var decoded struct{ X any } // the value as decoded from TOML
	if toml.Unmarshal([]byte("X = "+value), &decoded) != nil {
		decoded.X = value // a value that is not TOML is used as a string
	}
	if err := setKey(all, key, decoded.X); err != nil {
		err.File = path
		return nil, err
	}
	text, err := toml.Marshal(all)
	if err != nil {
		return nil, &Error{File: path, Key: key, Text: err.Error()}
	}
	return Parse(path, text)
}

// setKey sets a key of a document, such as fault.0.share, and creates the tables that
// are missing. It returns an Error without a file if the key does not fit the document.
func setKey(doc map[string]any, key string, value any) *Error {
	var container any = doc
	parts := strings.Split(key, ".")
	for i, part := range parts {
		isLast := i == len(parts)-1
		switch current := container.(type) {
		case map[string]any:
			if isLast {
				current[part] = value
			} else if current[part] == nil {
				current[part] = map[string]any{}
			}
			container = current[part]
		case []any:
			n, err := strconv.Atoi(part)
			if err != nil || n < 0 || n >= len(current) || isLast {
				return &Error{Key: key, Text: fmt.Sprintf("%q: a number from 0 to %d, and a key of it, are wanted", part, len(current)-1)}
			}
			container = current[n]
		default:
			return &Error{Key: key, Text: fmt.Sprintf("%q is not in a table", part)}
		}
	}
	return nil
}
