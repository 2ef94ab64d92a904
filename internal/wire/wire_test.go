package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"math"
	"strings"
	"testing"
)

func decodeHex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// newRecord returns a record of 48 bytes that begins with the given bytes.
func newRecord(t testing.TB, s string) []byte {
	b := decodeHex(t, s)
	return append(b, make([]byte, eventSize-len(b))...)
}

// newFrame encodes a batch as ReadBatch expects it: a header with the clock, the size in bytes of
// what follows and the number of records, then the records, then the tail. Each record must have
// eventSize bytes.
func newFrame(clock uint64, tail []byte, records ...[]byte) []byte {
	b := make([]byte, batchHeader)
	byteOrder.PutUint64(b, clock)
	byteOrder.PutUint32(b[8:], uint32(len(records)*eventSize+len(tail)))
	byteOrder.PutUint32(b[12:], uint32(len(records)))
	for _, r := range records {
		b = append(b, r...)
	}
	return append(b, tail...)
}

// TestReadBatchDecodesDocumentedFrame decodes the example frame of the protocol's documentation.
func TestReadBatchDecodesDocumentedFrame(t *testing.T) {
	clock, events, err := ReadBatch(bytes.NewReader(newFrame(0x805c5a, nil,
		newRecord(t, "1e 0003 5d3a91c4 91f03b7c55d20a64 0003a980 0001 0000 42640000 00000000 00002ee0"),
		newRecord(t, "46 0003 000000000000004d"), newRecord(t, "3c 0005 0e6f2b19"))))
	if err != nil || clock != 0x805c5a || len(events) != 3 {
		t.Fatalf("clock %x, %d events, error %v", clock, len(events), err)
	}
	message := events[0]
	if message.Code != EvCall || message.Relay != 3 || message.Ticket != 0x5d3a91c4 || message.Subject != 0x91f03b7c55d20a64 ||
		message.Grace != 0x3a980 || message.Flags != 1 || message.Class != 0 || message.Dest != 57 || message.Estimate != 12000 {
		t.Errorf("message event %+v", message)
	}
	if events[1].Token != 0x4d || events[2].Relay != 5 || events[2].Ticket != 0x0e6f2b19 {
		t.Errorf("timer event %+v, withdrawal event %+v", events[1], events[2])
	}
}

func TestReadBatchDecodesListEntries(t *testing.T) {
	tail := decodeHex(t, `0a124a07 1f43 0000 00 0039 01 3f800000 0000000000000000
		0a9011f2 1f6c 0001 02 0039 02 3fc00000 00000000005d1420`)
	_, events, err := ReadBatch(bytes.NewReader(newFrame(1, tail, newRecord(t, "6e 0f 00000000 00000002"),
		newRecord(t, "14 0003 00 0000000000000029 0f"))))
	if err != nil {
		t.Fatal(err)
	}
	want := Entry{Endpoint: 0x0a9011f21f6c, Zone: 1, Kind: 2, Dest: 57, State: 2, Nominal: 1.5, CameUp: 0x5d1420}
	if len(events[0].Entries) != 2 || events[0].Entries[1] != want || events[1].Sheet != 15 || events[1].Token != 0x29 {
		t.Errorf("entries %+v, sync %+v", events[0].Entries, events[1])
	}
}

func TestReadBatchDecodesAttemptOutcome(t *testing.T) {
	_, events, err := ReadBatch(bytes.NewReader(newFrame(1, nil,
		newRecord(t, "32 0003 5d3a91c4 0a124a07 1f43 07 00000019 00004844 fe 01 02 3ecccccd 3fa00000 00000000 00000000"))))
	if err != nil {
		t.Fatal(err)
	}
	e := events[0]
	if e.Attempt != 7 || e.Note != 25 || e.Took != 0x4844 || e.Status != StatusFull || !e.Settled || e.ReportFields != 2 ||
		e.Report[1] != 1.25 || e.Endpoint != 0x0a124a071f43 {
		t.Errorf("attempt event %+v", e)
	}
}

// TestAppendReplyEncodesDocumentedFrame encodes the example reply of the protocol's documentation.
func TestAppendReplyEncodesDocumentedFrame(t *testing.T) {
	got, err := AppendReply(nil, []Action{
		{Code: ActDeliver, Relay: 3, Ticket: 0x5d3a91c4, Endpoint: 0x0a124a071f43, At: 0x8194da},
		{Code: ActRemind, Relay: 3, After: 500000, Token: 0x4d},
		{Code: ActLog, Relay: 5, Text: "two servers known"}})
	if err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, `00000059 00000003
		14 0003 5d3a91c4 0a124a07 1f43 00000000008194da 000000
		3c 0003 0007a120 000000000000004d 000000000000000000
		28 0005 00000000 00000011 00000000000000000000000000
		74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	if _, err := AppendReply(nil, []Action{{Code: 1}}); err == nil {
		t.Error("an unknown action code was encoded")
	}
}

func TestAppendReplyEncodesActionsWithoutText(t *testing.T) {
	for _, c := range []struct {
		action Action
		want   string
	}{
		{Action{Code: ActReject, Relay: 3, Ticket: 0x0e6f2b19, After: 250000}, "1e 0003 0e6f2b19 0003d090"},
		{Action{Code: ActLose, Relay: 3, Ticket: 0x0e6f2b19}, "46 0003 0e6f2b19"},
		{Action{Code: ActCancel, Relay: 3, Ticket: 0x5d3a91c4, Attempt: 2}, "78 0003 5d3a91c4 02"},
		{Action{Code: ActHealthCheck, Relay: 3, Endpoint: 0x0a9011f21f6c}, "50 0003 0a9011f2 1f6c"},
		{Action{Code: ActClose, Relay: 3, Endpoint: 0x0a9011f21f6c}, "6e 0003 0a9011f2 1f6c"},
		{Action{Code: ActListen, Relay: 3, On: true}, "32 0003 01"},
		{Action{Code: ActRead, Relay: 3}, "5a 0003"},
	} {
		got, err := AppendReply(nil, []Action{c.action})
		want := decodeHex(t, c.want)
		want = append(want, make([]byte, actionSize-len(want))...)
		if err != nil || !bytes.Equal(got[replyHeader:], want) {
			t.Errorf("code %d: %x, want %x, error %v", c.action.Code, got, want, err)
		}
	}
}

func TestReadBatchRejectsMalformedFrames(t *testing.T) {
	message := newRecord(t, "1e 0003 5d3a91c4")
	nanDestination := append([]byte(nil), message...)
	byteOrder.PutUint32(nanDestination[23:], math.Float32bits(float32(math.NaN())))
	tooManyRecords := newFrame(1, nil, message)
	byteOrder.PutUint32(tooManyRecords[12:], 2)
	tooLong := newFrame(1, nil)
	byteOrder.PutUint32(tooLong[8:], math.MaxUint32)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"short header":                       {make([]byte, 7), "header"},
		"short body":                         {newFrame(1, nil, message)[:40], "body"},
		"too many records":                   {tooManyRecords, "records"},
		"body too long":                      {tooLong, "length"},
		"unknown event code":                 {newFrame(1, nil, newRecord(t, "07")), "code 7"},
		"list number too large":              {newFrame(1, nil, newRecord(t, "6e 10")), "list number 16"},
		"list number of an update too large": {newFrame(1, nil, newRecord(t, "14 0003 04 0000000000000001 10")), "list number 16"},
		"unknown kind of update":             {newFrame(1, nil, newRecord(t, "14 0003 02")), "kind 2"},
		"entries outside the tail":           {newFrame(1, make([]byte, 30), newRecord(t, "6e 00 00000000 00000002")), "outside the tail"},
		"text outside the tail":              {newFrame(1, nil, newRecord(t, "0a 0003 0000000000000001 ffffffff ffffffff")), "outside the tail"},
		"unknown readiness":                  {newFrame(1, append(make([]byte, 11), append([]byte{9}, make([]byte, 12)...)...), newRecord(t, "6e 00 00000000 00000001")), "readiness 9"},
		"unknown status":                     {newFrame(1, nil, newRecord(t, "32 0003 00000001 00000000 0000 00 00000000 00000000 10")), "status 16"},
		"too many report values":             {newFrame(1, nil, newRecord(t, "32 0003 00000001 00000000 0000 00 00000000 00000000 00 00 05")), "report of 5"},
		"destination is no number":           {newFrame(1, nil, nanDestination), "destination"},
	} {
		if _, _, err := ReadBatch(bytes.NewReader(c.in)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that says %q", name, err, c.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: the error has more than one line: %v", name, err)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil)); err != io.EOF {
		t.Errorf("empty input: error %v, want io.EOF", err)
	}
}

func TestParseSettingsReadsKnownKeysAndRejectsBadText(t *testing.T) {
	s, err := ParseSettings([]byte(`{"balancers":2,"unknown":[1],"classes":[{"repeat":"dedup","dedup_window_us":5}],
		"limits":{"most_held":7},"specifics":{"calls_out":9,"own_limits":[true]},"safety":{"fall_us":3}}`))
	if err != nil || s.Balancers != 2 || s.Classes[0].Window != 5 || s.Limits.MaxMessages != 7 || s.Specifics.CallsOut != 9 ||
		!s.Specifics.OwnLimits[0] || s.Safety.OverloadWindow != 3 || s.OverQuotaWeight != 1 {
		t.Errorf("settings %+v, error %v", s, err)
	}
	for _, bad := range []string{"", "[]", `{"balancers":"two"}`, "{"} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("ParseSettings(%q) gave no error", bad)
		}
	}
}

// FuzzReadBatch checks that no input makes the decoder panic, and that it decodes no more records than the
// input holds.
func FuzzReadBatch(f *testing.F) {
	f.Add(newFrame(1, nil, newRecord(f, "1e 0003 5d3a91c4"), newRecord(f, "3c 0005 0e6f2b19")))
	f.Add(newFrame(1, make([]byte, 24), newRecord(f, "6e 0f 00000000 00000001"), newRecord(f, "0a 0001 0000000000000001 00000000 00000002")))
	f.Add(newFrame(9, nil, newRecord(f, "32 0003 00000001 00000000 0000 00 00000000 00000000 fe 00 02")))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, in []byte) {
		_, events, err := ReadBatch(bytes.NewReader(in))
		if err == nil && len(in) < batchHeader+len(events)*eventSize {
			t.Fatalf("decoded %d events from %d bytes", len(events), len(in))
		}
	})
}
