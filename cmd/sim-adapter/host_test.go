package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"
)

var byteOrder = binary.BigEndian

const settingsText = `{"balancers":2,"classes":[{"name":"a","target_us":1000000,"deadline_us":5000000,"worth":1,
"late_worth":0.2,"repeat":"retryable"}],"kinds":["k"],"limits":{"most_held":50,"most_tries":9,"may_cancel":true,
"probing":true},"safety":{"answer_slack_us":20000,"overload_factor":2,"fall_us":3000000,"ramp_time_us":9000000,
"start_capacity":0.2,"drain_grace_us":1000000},"specifics":{"calls_out":4,"kind_batch":[1],"own_limits":[false],
"late":"halving"},"tick_us":5000,"weights":"nominal","zone":0}`

func newRecord(code byte, relay uint16) []byte {
	b := make([]byte, 48)
	b[0] = code
	byteOrder.PutUint16(b[1:], relay)
	return b
}

func startRecord(relay uint16, seed uint64, text string, offset int) []byte {
	b := newRecord(10, relay)
	byteOrder.PutUint64(b[3:], seed)
	byteOrder.PutUint32(b[11:], uint32(offset))
	byteOrder.PutUint32(b[15:], uint32(len(text)))
	return b
}

func listRecord(number byte, offset, entries int) []byte {
	b := make([]byte, 48)
	b[0], b[1] = 110, number
	byteOrder.PutUint32(b[2:], uint32(offset))
	byteOrder.PutUint32(b[6:], uint32(entries))
	return b
}

func listUpdateRecord(relay uint16, number byte) []byte {
	b := newRecord(20, relay)
	b[12] = number
	return b
}

func messageRecord(relay uint16, id uint32) []byte {
	b := newRecord(30, relay)
	byteOrder.PutUint32(b[3:], id)
	byteOrder.PutUint32(b[15:], 5000000)
	return b
}

func listEntry(address uint32) []byte {
	b := make([]byte, 24)
	byteOrder.PutUint32(b, address)
	b[11] = 1
	byteOrder.PutUint32(b[12:], 0x41a00000) // 20 calls a second, as a float32
	return b
}

func newBatch(clock uint64, tail []byte, records ...[]byte) []byte {
	b := make([]byte, 16)
	byteOrder.PutUint64(b, clock)
	byteOrder.PutUint32(b[8:], uint32(48*len(records)+len(tail)))
	byteOrder.PutUint32(b[12:], uint32(len(records)))
	for _, r := range records {
		b = append(b, r...)
	}
	return append(b, tail...)
}

func serveInput(t *testing.T, in []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(bytes.NewReader(in), bufio.NewWriter(&out))
	return out.Bytes(), err
}

// decodeSends returns the relay, message and address of each send in a stream of replies.
func decodeSends(t *testing.T, out []byte) (got [][3]uint32) {
	t.Helper()
	for len(out) > 0 {
		size, count := int(byteOrder.Uint32(out)), int(byteOrder.Uint32(out[4:]))
		for i := range count {
			record := out[8+24*i:]
			if record[0] == 20 {
				got = append(got, [3]uint32{uint32(byteOrder.Uint16(record[1:])), byteOrder.Uint32(record[3:]), byteOrder.Uint32(record[7:])})
			}
		}
		out = out[8+size:]
	}
	return got
}

// If a list number is used twice in a batch, each instance gets the list as it was at the instance's own
// EvSync.
func TestReusedListNumberGivesEachInstanceItsOwnList(t *testing.T) {
	tail := append(append([]byte(settingsText), listEntry(1)...), listEntry(2)...)
	listOffset := len(settingsText)
	out, err := serveInput(t, newBatch(1e6, tail, startRecord(0, 1, settingsText, 0), startRecord(1, 2, settingsText, 0), listRecord(3, listOffset, 1), listUpdateRecord(0, 3),
		listRecord(3, listOffset+24, 1), listUpdateRecord(1, 3), messageRecord(0, 10), messageRecord(1, 11)))
	if err != nil {
		t.Fatal(err)
	}
	if got := decodeSends(t, out); len(got) != 2 || got[0] != [3]uint32{0, 10, 1} || got[1] != [3]uint32{1, 11, 2} {
		t.Fatalf("sends %v, want message 10 to address 1 and message 11 to address 2", got)
	}
}

// An instance that is restarted within a batch knows nothing of its predecessor, not even its messages.
func TestRestartedInstanceForgetsItsMessages(t *testing.T) {
	tail := append([]byte(settingsText), listEntry(1)...)
	listOffset := len(settingsText)
	out, err := serveInput(t, newBatch(1e6, tail, startRecord(0, 1, settingsText, 0), listRecord(0, listOffset, 1), listUpdateRecord(0, 0), messageRecord(0, 10),
		newRecord(100, 0), startRecord(0, 2, settingsText, 0), listUpdateRecord(0, 0), messageRecord(0, 12)))
	if err != nil {
		t.Fatal(err)
	}
	if got := decodeSends(t, out); len(got) != 1 || got[0][1] != 12 {
		t.Fatalf("sends %v, want message 12 alone", got)
	}
}

// There is no action of a relay that was stopped within the batch.
func TestInstanceStoppedInBatchTakesNoAction(t *testing.T) {
	tail := append([]byte(settingsText), listEntry(1)...)
	out, err := serveInput(t, newBatch(1e6, tail, startRecord(0, 1, settingsText, 0), listRecord(0, len(settingsText), 1), listUpdateRecord(0, 0), messageRecord(0, 10),
		newRecord(100, 0)))
	if err != nil || !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("reply %x, error %v, want an empty reply", out, err)
	}
}

// The same input gives the same replies, byte for byte, and another relay in the process does not change how
// many sends a relay makes.
func TestSameInputGivesSameReplyBytes(t *testing.T) {
	stream := func(relays int) []byte {
		rng := rand.New(rand.NewPCG(1, 2))
		tail := append(append([]byte(settingsText), listEntry(1)...), listEntry(2)...)
		var records [][]byte
		for i := range relays {
			records = append(records, startRecord(uint16(i), uint64(i), settingsText, 0), listRecord(0, len(settingsText), 2), listUpdateRecord(uint16(i), 0))
		}
		in := newBatch(1e6, tail, records...)
		for step := range 50 {
			records = nil
			for range rng.IntN(4) {
				id := uint32(step*10 + len(records))
				records = append(records, messageRecord(0, id))
				if relays > 1 {
					records = append(records, messageRecord(1, id))
				}
			}
			in = append(in, newBatch(uint64(1e6+5000*step), nil, records...)...)
		}
		return in
	}
	first, err := serveInput(t, stream(2))
	second, err2 := serveInput(t, stream(2))
	if err != nil || err2 != nil || len(first) < 51*8+4*24 || !bytes.Equal(first, second) {
		t.Fatalf("replies of %d and %d bytes that are too short or differ, errors %v and %v", len(first), len(second), err, err2)
	}
	alone, err := serveInput(t, stream(1))
	if err != nil {
		t.Fatal(err)
	}
	var besideAnother [][3]uint32
	for _, send := range decodeSends(t, first) {
		if send[0] == 0 {
			besideAnother = append(besideAnother, send)
		}
	}
	if sendsAlone := decodeSends(t, alone); len(sendsAlone) == 0 || len(sendsAlone) != len(besideAnother) {
		t.Fatalf("%d sends of a relay that runs alone, %d beside another relay", len(sendsAlone), len(besideAnother))
	}
}

// Invalid settings are reported with an ActBug, which is the protocol's action for that.
func TestInvalidSettingsAreReportedAsBug(t *testing.T) {
	for from, to := range map[string]string{`"calls_out":4`: `"calls_out":0`, `"retryable"`: `"sometimes"`,
		`"fall_us":3000000`: `"fall_us":-1`} {
		text := strings.Replace(settingsText, from, to, 1)
		out, err := serveInput(t, newBatch(1e6, []byte(text), startRecord(4, 1, text, 0)))
		if err != nil || byteOrder.Uint32(out[4:]) != 1 || out[8] != 100 || byteOrder.Uint16(out[9:]) != 4 || len(out) <= 32 {
			t.Errorf("settings with %s: reply %s, error %v, want a single ActBug of relay 4 with a text", to, hex.EncodeToString(out), err)
		}
	}
}

func TestMalformedFrameGivesOneLineError(t *testing.T) {
	out, err := serveInput(t, append(newBatch(1e6, nil), newBatch(2e6, nil, newRecord(7, 0))...))
	if err == nil || !strings.Contains(err.Error(), "frame 1: record 0") || strings.Contains(err.Error(), "\n") {
		t.Fatalf("error %v, want one line that names frame 1 and record 0", err)
	}
	if !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("output %x, want the first reply alone", out)
	}
	if out, err := serveInput(t, nil); err != nil || len(out) != 0 {
		t.Fatalf("empty input: output %x, error %v, want neither", out, err)
	}
}

// An event for a relay that doesn't run is no error and causes no action.
func TestEventForUnknownRelayIsIgnored(t *testing.T) {
	out, err := serveInput(t, newBatch(1e6, nil, messageRecord(9, 1)))
	if err != nil || !bytes.Equal(out, make([]byte, 8)) {
		t.Fatalf("reply %x, error %v, want an empty reply", out, err)
	}
}
