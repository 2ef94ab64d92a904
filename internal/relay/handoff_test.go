package relay

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"plovershore/policy"
)

// The JSON names of the policy handoff must not change, as the two processes of an upgrade may
// run different versions of the program.
func TestPolicyHandoffKeepsJSONNames(t *testing.T) {
	text, err := json.Marshal(policyHandoff{PolicyTime: 1, LogTime: 2, EndpointIDs: map[policy.Endpoint]string{3: "s-3"}})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	if names := slices.Sorted(maps.Keys(fields)); !slices.Equal(names, []string{"IDs", "Memory", "Now", "Wall"}) {
		t.Errorf("JSON names %v", names)
	}
	if string(fields["Now"]) != "1" || string(fields["Wall"]) != "2" || string(fields["IDs"]) != `{"3":"s-3"}` {
		t.Errorf("JSON text %s", text)
	}
}
