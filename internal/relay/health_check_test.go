package relay

import (
	"context"
	"testing"

	"plovershore/policy"
)

func TestCheckHealthMapsStatusToOutcome(t *testing.T) {
	for code, want := range map[int]policy.Outcome{200: policy.Delivered, 503: policy.Rejected, 404: policy.Errored} {
		ep := newFakeEndpoint(t, answerStatus(code))
		if o := checkHealth(context.Background(), newTestTransport(t, 2), ep.addr()); o.kind != want {
			t.Errorf("status %d: %+v", code, o)
		}
	}
}
