package policy

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// snapshotText is the JSON that earlier versions write and read, with every key.
const snapshotText = `{
	"Lanes": [
		{
			"Endpoints": [
				{
					"Endpoint": 6,
					"Score": 0.25,
					"Need": 0.75,
					"Sick": true,
					"Mute": true,
					"RestUntil": 7,
					"FirstBad": 8,
					"BadAt": 9,
					"GoodAt": 10,
					"GoodSent": 11,
					"OkAt": 12,
					"OkSent": 13,
					"Budget": {"At": 1, "Tokens": 2.5, "Used": true},
					"Latency": {"Mean": 3.5, "Dev": 4.5, "N": 5}
				}
			],
			"History": [{"At": 14, "Requests": 15, "Accepts": 16}],
			"Window": 17,
			"Nominal": 18,
			"Limit": 19,
			"Boost": 20.5,
			"WaitUntil": 21,
			"PauseUntil": 22,
			"FullAt": 23,
			"FullRun": 24,
			"Tokens": {"At": 1, "Tokens": 2.5, "Used": true},
			"Latency": {"Mean": 3.5, "Dev": 4.5, "N": 5}
		}
	],
	"Latency": {"Mean": 3.5, "Dev": 4.5, "N": 5},
	"Tight": [0.125]
}`

// fullSnapshot returns the snapshot that snapshotText encodes.
func fullSnapshot() Snapshot {
	bucket := TokenBucketSnapshot{RefilledAt: 1, Tokens: 2.5, IsStarted: true}
	latency := LatencySnapshot{Mean: 3.5, Deviation: 4.5, Samples: 5}
	endpoint := EndpointSnapshot{Endpoint: 6, FailureScore: 0.25, NextCallCost: 0.75, IsEjected: true, IsUnresponsive: true,
		BackoffUntil: 7, FirstFailureAt: 8, LastFailureAt: 9, RecoveredAt: 10, RecoverySentAt: 11, LastSuccessAt: 12,
		LastSuccessSentAt: 13, RecoveryBudget: bucket, Latency: latency}
	route := RouteSnapshot{Endpoints: []EndpointSnapshot{endpoint}, History: []BinSnapshot{{At: 14, Requests: 15, Accepts: 16}},
		Window: 17, NominalRate: 18, ReportedLimit: 19, PaceFactor: 20.5, RetryAfterUntil: 21, BackoffUntil: 22,
		RejectionRunStart: 23, RejectionRun: 24, Tokens: bucket, Latency: latency}
	return Snapshot{Routes: []RouteSnapshot{route}, Latency: latency, ConnectionShortage: []float64{0.125}}
}

// A snapshot is written with the keys of earlier versions, byte for byte, and can be read from
// them. A new field has to be added to the full snapshot, all of whose fields are set.
func TestSnapshotJSONIsThatOfEarlierVersions(t *testing.T) {
	var want bytes.Buffer
	if err := json.Compact(&want, []byte(snapshotText)); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(fullSnapshot())
	if err != nil || string(got) != want.String() {
		t.Errorf("marshal: error %v, got\n%s\nwant\n%s", err, got, want.Bytes())
	}
	var read Snapshot
	if err := json.Unmarshal([]byte(snapshotText), &read); err != nil || !reflect.DeepEqual(read, fullSnapshot()) {
		t.Errorf("unmarshal: error %v, got %+v", err, read)
	}
	checkAllSet(t, "Snapshot", reflect.ValueOf(fullSnapshot()))
}

// checkAllSet reports fields that have their zero value.
func checkAllSet(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set", name)
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			checkAllSet(t, name+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			checkAllSet(t, name, v.Index(i))
		}
	}
}

// A restored policy has the Retry-After, the window, the history and the ejection of the earlier
// one, with all times by the new host's clock. Endpoints that are not on its list are ignored.
func TestRestoreAppliesSnapshotByNewClock(t *testing.T) {
	old := newRig(t, baseSettings(), readyEntry(1, 10), Entry{Endpoint: 2, Dest: 1, State: Ready, Rate: 10}, Entry{Endpoint: 3, Dest: 2, State: Ready})
	old.step(old.newMessage(0, 0))
	old.step(Event{Kind: EventAttemptDone, Message: old.sends[0].Message, Endpoint: 1, Outcome: Rejected, RetryAfter: 3 * second})
	route := old.p.endpoints[2].route
	route.window, old.p.endpoints[2].isEjected, old.p.endpoints[2].lastFailureAt = 5, true, old.now-second
	for range 6 {
		old.now += second / 4
		route.history.recordRequest(old.now)
	}
	const shift = 77 * second
	r := newRig(t, baseSettings(), readyEntry(1, 10), Entry{Endpoint: 2, Dest: 1, State: Ready, Rate: 10})
	r.now = old.now + shift
	r.p.Restore(old.p.Snapshot(), shift)
	if got, want := r.p.endpoints[1].route.retryAfterUntil, old.p.endpoints[1].route.retryAfterUntil+shift; got != want {
		t.Errorf("Retry-After until %d, want %d", got, want)
	}
	endpoint := r.p.endpoints[2]
	if requests, _ := endpoint.route.history.totals(r.now); requests != 6 || endpoint.route.window != 5 || !endpoint.isEjected || endpoint.lastFailureAt != old.p.endpoints[2].lastFailureAt+shift {
		t.Errorf("%v requests in the history, window %v, ejected %v, last failure at %d", requests, endpoint.route.window, endpoint.isEjected, endpoint.lastFailureAt)
	}
	if requests, _ := endpoint.route.history.totals(r.now + historySpan); requests != 0 {
		t.Errorf("%v requests in the history after its span, want 0", requests)
	}
	r.step(r.newMessage(0, 0))
	if len(r.sends) != 0 {
		t.Error("a message was sent during the restored Retry-After")
	}
	if r.now = old.p.endpoints[1].route.backoffUntil + shift + second; len(r.step(Event{Kind: EventTimer})) == 0 || len(r.sends) != 1 {
		t.Error("the message was not sent after the restored Retry-After")
	}
}
