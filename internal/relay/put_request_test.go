package relay

import (
	"testing"
	"time"
)

func TestParsePutRequestReadsKnownAndIgnoresUnknownFields(t *testing.T) {
	now := time.UnixMicro(1e15)
	q, err := parseTestConfig(t).parsePutRequest([][]byte{[]byte("MSG.PUT"), nil, []byte("id1"),
		[]byte("c=keyed,t=acme,d=1500.5,k=k1,dest=12,r=1,again=1,new=x"), []byte("b")}, now)
	if err != nil {
		t.Fatal(err)
	}
	if q.class != 1 || q.tenant != 0 || q.record.Dest != 12 || q.record.Key != "k1" || q.record.ID != "id1" ||
		!q.receivedAt.Equal(time.UnixMicro(1e15)) || q.timeLeft != 1500500*time.Microsecond || string(q.record.Body) != "b" {
		t.Errorf("got %+v, %+v", q, q.record)
	}
}
