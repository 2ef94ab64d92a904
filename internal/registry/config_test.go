package registry

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestEnvironmentOverridesFileUnderCurrentAndDeprecatedNames checks that each variable is
// read under its current and its deprecated name and overrides the file, that the current
// name takes precedence, and that each use of a deprecated name is reported once.
func TestEnvironmentOverridesFileUnderCurrentAndDeprecatedNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.toml")
	file := "id = \"file\"\ndata = \"file\"\nlisten = \"127.0.0.1:1\"\nraft = \"127.0.0.1:1\"\noperator = \"127.0.0.1:1\"\nlog = \"text\"\n"
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, variable := range []struct {
		name, currentValue, deprecatedValue string
		field                               func(*Config) string
	}{
		{"ID", "now", "before", func(c *Config) string { return c.ID }},
		{"DATA", "now", "before", func(c *Config) string { return c.DataDir }},
		{"LISTEN", "127.0.0.1:2", "127.0.0.1:3", func(c *Config) string { return c.Listen }},
		{"RAFT", "127.0.0.1:2", "127.0.0.1:3", func(c *Config) string { return c.Raft }},
		{"OPERATOR", "127.0.0.1:2", "127.0.0.1:3", func(c *Config) string { return c.Operator }},
		{"LOG", "json", "json", func(c *Config) string { return c.LogFormat }},
	} {
		current, deprecated := "REGISTRY_"+variable.name, "TROUTREGISTRY_"+variable.name
		for _, tt := range []struct {
			env            map[string]string
			want           string
			wantDeprecated []DeprecatedVariable
		}{
			{map[string]string{current: variable.currentValue}, variable.currentValue, nil},
			{map[string]string{deprecated: variable.deprecatedValue}, variable.deprecatedValue, []DeprecatedVariable{{Name: deprecated, Replacement: current}}},
			{map[string]string{current: variable.currentValue, deprecated: variable.deprecatedValue}, variable.currentValue, []DeprecatedVariable{{Name: deprecated, Replacement: current, Ignored: true}}},
		} {
			c, err := LoadConfig(path, func(name string) string { return tt.env[name] })
			if err != nil {
				t.Fatal(err)
			}
			if got := variable.field(c); got != tt.want || !slices.Equal(c.DeprecatedVariables, tt.wantDeprecated) {
				t.Errorf("environment %v: value %q, deprecated variables %+v", tt.env, got, c.DeprecatedVariables)
			}
		}
	}
}

// TestConfigErrorsNameFileAndKey checks that errors name the file and the key, with the
// line where the decoder knows it, and that the example file is valid without a change.
func TestConfigErrorsNameFileAndKey(t *testing.T) {
	emptyEnvironment := func(string) string { return "" }
	if _, err := LoadConfig(filepath.Join("..", "..", "deploy", "registry.toml"), emptyEnvironment); err != nil {
		t.Error(err)
	}
	path := filepath.Join(t.TempDir(), "r.toml")
	for text, wantText := range map[string]string{
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
		if _, err := LoadConfig(path, emptyEnvironment); err == nil || !strings.Contains(err.Error(), wantText) {
			t.Errorf("%q: error %v, want one that names the file and the key", text, err)
		}
	}
}
