package registry

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestEnvironmentNames checks that each variable is read under its current and its
// deprecated name and overrides the file, that the current name takes precedence, and that
// each use of a deprecated name is reported once.
func TestEnvironmentNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.toml")
	file := "id = \"file\"\ndata = \"file\"\nlisten = \"127.0.0.1:1\"\nraft = \"127.0.0.1:1\"\noperator = \"127.0.0.1:1\"\nlog = \"text\"\n"
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		name, now, before string
		field             func(*Config) string
	}{
		{"ID", "now", "before", func(c *Config) string { return c.ID }},
		{"DATA", "now", "before", func(c *Config) string { return c.DataDir }},
		{"LISTEN", "127.0.0.1:2", "127.0.0.1:3", func(c *Config) string { return c.Listen }},
		{"RAFT", "127.0.0.1:2", "127.0.0.1:3", func(c *Config) string { return c.Raft }},
		{"OPERATOR", "127.0.0.1:2", "127.0.0.1:3", func(c *Config) string { return c.Operator }},
		{"LOG", "json", "json", func(c *Config) string { return c.LogFormat }},
	} {
		now, before := "REGISTRY_"+x.name, "TROUTREGISTRY_"+x.name
		for _, y := range []struct {
			env  map[string]string
			want string
			used []DeprecatedVariable
		}{
			{map[string]string{now: x.now}, x.now, nil},
			{map[string]string{before: x.before}, x.before, []DeprecatedVariable{{Name: before, Replacement: now}}},
			{map[string]string{now: x.now, before: x.before}, x.now, []DeprecatedVariable{{Name: before, Replacement: now, Ignored: true}}},
		} {
			c, err := LoadConfig(path, func(name string) string { return y.env[name] })
			if err != nil {
				t.Fatal(err)
			}
			if got := x.field(c); got != y.want || !slices.Equal(c.DeprecatedVariables, y.used) {
				t.Errorf("environment %v: value %q, deprecated variables %+v", y.env, got, c.DeprecatedVariables)
			}
		}
	}
}

// TestConfigErrorsNameFileAndKey checks that errors name the file and the key, with the
// line where the decoder knows it, and that the example file is valid without a change.
func TestConfigErrorsNameFileAndKey(t *testing.T) {
	none := func(string) string { return "" }
	if _, err := LoadConfig(filepath.Join("..", "..", "deploy", "registry.toml"), none); err != nil {
		t.Error(err)
	}
	path := filepath.Join(t.TempDir(), "r.toml")
	for text, says := range map[string]string{
		"idd = \"x\"\n":                           "r.toml:1: idd",
		"[lapse]\nshare = 3\n":                    "lapse.share",
		"[lapse]\nhold = \"long\"\n":              "r.toml:2",
		"log = \"xml\"\n":                         "log",
		"listen = \"nowhere\"\n":                  "listen",
		"[[peers]]\nid = \"a\"\n":                 "peers[0]",
		"[[members]]\nid = \"a\"\n":               "members[0]",
		"[[peers]]\nid='a'\nraft='b'\nhttp='c'\n": "r1",
	} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := LoadConfig(path, none); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: error %v, want one that names the file and the key", text, err)
		}
	}
}
