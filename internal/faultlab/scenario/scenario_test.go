package scenario

import (
	"errors"
	"strings"
	"testing"
)

func TestParseErrorNamesFileLineKeyAndAllowedValues(t *testing.T) {
	for _, test := range []struct {
		text, wantKey string
		wantLine      int
		wantText      string
	}{
		{"seconds = 5\nspeed = 3\n", "speed", 2, "unknown key; allowed here: name, about, seconds"},
		{"[fleet]\nrelay = 3\n", "fleet.relay", 2, "relays"},
		{"[fleet]\n\nrelays = 99\n", "fleet.relays", 3, "from 1 to 64"},
		{"seconds = \"x\"\n", "seconds", 1, ""},
		{"seconds = \n", "", 1, ""},
		{"[[fault]]\nkind = \"kill\"\n[[fault]]\nat = 1\nkind = \"maim\"\n", "fault[1].kind", 5, "allowed: break, clock, cut"},
		{"[[fault]]\nat = 1\n", "fault[0].kind", 1, "allowed: break, clock, cut"},
		{"[[fault]]\nkind = \"cut\"\nzone = \"z\"\n", "fault[0].zone", 3, "allowed: a, b, c"},
		{"[[fault]]\nkind = \"cut\"\nway = \"up\"\n", "fault[0].way", 3, "forth, back, both"},
		{"[[fault]]\nkind = \"flip\"\nfile = \"../x\"\n", "fault[0].file", 3, "name of a file"},
		{"[[fault]]\nkind = \"kill\"\nrelays = [3]\n", "fault[0].relays", 3, "from 0 to 2"},
		{"[scale]\nrelays = 3\n", "scale.relays", 2, "registry.nodes"},
		{"[scale]\nrelay = 3\n", "scale.relay", 2, "processes"},
		{"[scale]\nmembers = 1\n", "scale.members", 2, "from 2"},
		{"[registry]\nnodes = 3\n[scale]\nrelays = 3\nprocesses = 4\n", "scale.processes", 5, "at most one"},
		{"[registry]\nnodes = 3\nttl = 9\n[scale]\nrelays = 8\nlapse_at = 1\nlapse_for = 3\n", "scale.lapse_for", 7, "registry.ttl"},
		{"[registry]\nnodes = 3\n[scale]\nrelays = 8\n[[fault]]\nkind = \"kill\"\n", "fault[0].kind", 6, "has none"},
		{"[[fault]]\nkind = \"pause\"\nfor = 3\nevery = 2\n", "fault[0].every", 4, "more than"},
	} {
		_, err := Parse("x.toml", []byte(test.text))
		var e *Error
		if !errors.As(err, &e) || e.File != "x.toml" || e.Line != test.wantLine || e.Key != test.wantKey || !strings.Contains(e.Text, test.wantText) {
			t.Errorf("scenario %q: error does not name the file, line, key and text of the test case: %+v", test.text, err)
		}
	}
}

func TestParseWithSetsKeyAndRejectsUnknownKey(t *testing.T) {
	doc := []byte("[load]\nrate = 60\n[[fault]]\nkind = \"kill\"\nat = 1\n")
	s, err := ParseWith("x.toml", doc, "fault.0.share", "0.5")
	if err != nil || s.Faults[0].Fraction != 0.5 || s.Load.Rate != 60 {
		t.Fatalf("fault.0.share set to 0.5: scenario %+v, error %v; want that share and the file's rate of 60", s, err)
	}
	if s, err = ParseWith("x.toml", doc, "fault.0.folder", "lost"); err != nil || s.Faults[0].Folder != "lost" {
		t.Fatalf("fault.0.folder set to lost: scenario %+v, error %v; want that folder", s, err)
	}
	for _, key := range []string{"load.rates", "fault.1.share", "load.rate.x"} {
		if _, err := ParseWith("x.toml", doc, key, "1"); err == nil {
			t.Errorf("setting the key %s, which does not exist, gave no error", key)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("seconds = 5\n[[fault]]\nkind = \"cut\"\n"))
	f.Add([]byte("[fleet]\nrelays = 1e9\n[fault]\n"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		s, err := Parse("x.toml", doc)
		if (s == nil) == (err == nil) {
			t.Fatal("Parse returned both or neither of a scenario and an error")
		}
	})
}
