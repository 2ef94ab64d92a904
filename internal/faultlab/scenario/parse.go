package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error says why a scenario file cannot be used.
type Error struct {
	File string
	Line int    // 0 if the error is not in a certain line
	Key  string // empty if the error is not in a certain key
	Text string // the invalid value and what is allowed
}

// Error returns a text with file, line, key and Text.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", position, e.Key, e.Text)
	}
	return position + ": " + e.Text
}

// LoadFile reads and validates a scenario file. Keys that are not in the file have
// their values of Default, except that name is then the file's name without .toml and
// about is empty. Errors are of type *Error.
func LoadFile(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Text: errors.Unwrap(err).Error()}
	}
	return Parse(path, text)
}

// Parse does the same as LoadFile for the contents of a file. Errors name path.
func Parse(path string, doc []byte) (*Scenario, error) {
	s := Default()
	s.Name, s.About = strings.TrimSuffix(filepath.Base(path), ".toml"), ""
	dec := toml.NewDecoder(bytes.NewReader(doc))
	dec.DisallowUnknownFields()
	if err := decode(dec, &s); err != nil {
		return nil, decodeError(path, doc, err)
	}
	if err := s.validate(); err != nil {
		err.File, err.Line = path, lineOf(doc, err.Key)
		return nil, err
	}
	return &s, nil
}

// decode calls Decode and returns its panics as errors: go-toml 2.2.4 panics on a
// number such as +A0.
func decode(dec *toml.Decoder, s *Scenario) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("cannot be read as TOML: %v", p)
		}
	}()
	return dec.Decode(s)
}

func decodeError(path string, doc []byte, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return &Error{path, row, strings.Join(e.Key(), "."), "unknown key; allowed here: " + strings.Join(allowedKeys(e.Key()), ", ")}
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		row, _ := d.Position()
		return &Error{path, row, keyAt(doc, row), strings.TrimPrefix(d.Error(), "toml: ")}
	}
	return &Error{File: path, Text: err.Error()}
}

// allowedKeys returns the keys that are allowed in the table of a key.
func allowedKeys(key []string) []string {
	t := reflect.TypeFor[Scenario]()
	for _, k := range key[:max(0, len(key)-1)] {
		for i := range t.NumField() {
			f := t.Field(i)
			if f.Tag.Get("toml") != k {
				continue
			}
			if t = f.Type; t.Kind() == reflect.Slice {
				t = t.Elem()
			}
			break
		}
		if t.Kind() != reflect.Struct {
			return nil
		}
	}
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("toml"))
	}
	return names
}
