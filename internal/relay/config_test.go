package relay

import (
	"strings"
	"testing"
)

// A missing or invalid value must cause an error that names its key.
func TestConfigErrorNamesTheKey(t *testing.T) {
	validConfig := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","state":"/x","seed":"1f",
		"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":2},"settings":` + testSettings + `}`
	for name, test := range map[string]struct{ old, new, key string }{
		"no name":       {`"name":"n1",`, ``, "name"},
		"no port":       {`"listen":"127.0.0.1:1"`, `"listen":"127.0.0.1"`, "listen"},
		"discovery":     {`"discovery":"127.0.0.1:2"`, `"discovery":"x"`, "discovery"},
		"no state":      {`"state":"/x",`, ``, "state"},
		"seed":          {`"seed":"1f"`, `"seed":"zz"`, "seed"},
		"no seed":       {`"seed":"1f",`, ``, "seed"},
		"sockets":       {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		"memory":        {`"memory_mb":64`, `"memory_mb":"much"`, "memory_mb"},
		"disk":          {`"disk_mb":2`, `"disk_mb":-2`, "limits.disk_mb"},
		"slots":         {`"calls_out":16`, `"calls_out":0`, "MaxCalls"},
		"class repeat":  {`"repeat":"fragile"`, `"repeat":"maybe"`, "classes[2].repeat"},
		"class time":    {`"deadline_us":20000000,"dedup_window_us":20000000`, `"deadline_us":0`, "Classes[1].Deadline"},
		"type":          {`"balancers":1`, `"balancers":"one"`, "balancers"},
		"localities":    {`"localities":["a","b"]`, `"localities":7`, "localities"},
		"not json":      {`{"name"`, `{name`, "config"},
		"no settings":   {`"settings"`, `"setting"`, "settings"},
		"resident":      {`"seed":"1f"`, `"seed":"1f","resident":-1`, "config: resident"},
		"resident type": {`"seed":"1f"`, `"seed":"1f","resident":"all"`, "config: resident"},
		"negative time": {`"drain_grace_us":2000000`, `"drain_grace_us":-1`, "DrainGrace"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validConfig, test.old, test.new, 1)
			if text == validConfig {
				t.Fatal("the test case changes nothing in the configuration")
			}
			_, err := parseConfig([]byte(text), func(string) string { return "" })
			if err == nil || !strings.Contains(err.Error(), test.key) {
				t.Errorf("error %v, want one that names %s", err, test.key)
			}
		})
	}
	c, err := parseConfig([]byte(validConfig), func(k string) string { return map[string]string{"ROUTER_STATE": "/y"}[k] })
	if err != nil || c.StateDir != "/y" || c.Seed != 0x1f || c.Policy.MaxCalls != 16 || c.Policy.StreamsPerConnection != 1 || c.zones["b"] != 1 || c.classes["once"] != 2 {
		t.Errorf("got %+v, %v", c, err)
	}
	for _, test := range []struct {
		memory, key string
		want        int
	}{{"64", "", 8192}, {"4", "", minMaxResident}, {"64", `,"resident":3`, 3}, {"64", `,"resident":0`, 0}} {
		text := strings.Replace(strings.Replace(validConfig, `"memory_mb":64`, `"memory_mb":`+test.memory, 1), `"seed":"1f"`, `"seed":"1f"`+test.key, 1)
		c, err := parseConfig([]byte(text), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		if c.Policy.MaxResidentMessages != test.want {
			t.Errorf("%s MB%s: limit of %d messages in memory, want %d", test.memory, test.key, c.Policy.MaxResidentMessages, test.want)
		}
	}
	clients, endpoints := c.socketBudget()
	if clients+endpoints+reservedSockets > 256 || endpoints < c.Policy.MaxCalls {
		t.Errorf("socket budget: %d for clients and %d for endpoints of 256", clients, endpoints)
	}
}

// The policy's LoadReports must be true if report.how in the settings is "answers", so that
// responses carry load reports, and false if it is "none" or "probe". The policy has to know,
// as the meaning of a response without a report depends on it.
func TestPolicyLoadReportsFollowReportHow(t *testing.T) {
	for reportMode, want := range map[string]bool{"none": false, "probe": false, "answers": true} {
		text := strings.Replace(testSettings, `"report":{"fields":[],"how":"none"}`, `"report":{"fields":["x0"],"how":"`+reportMode+`"}`, 1)
		c, err := parseConfig([]byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":`+
			text+`}`), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		if c.Policy.LoadReports != want {
			t.Errorf("report %s: load reports %v", reportMode, c.Policy.LoadReports)
		}
	}
}
