package wire

import (
	"fmt"
	"math"
)

// EventCode is the kind of an event.
type EventCode uint8

// Codes of events. Each comment lists the fields of Event that are set beside Code.
const (
	EvUp       EventCode = 10  // an instance starts: Relay, Token (its seed), Text (its settings)
	EvSync     EventCode = 20  // a list update: Relay, Kind, Token (its version), Sheet
	EvCall     EventCode = 30  // a new message: Relay, Ticket, Subject, Grace, Flags, Class, Dest, Tenant, Estimate
	EvBegun    EventCode = 40  // a response has begun to reach the client: Relay, Ticket, Attempt, Endpoint, Took
	EvResolved EventCode = 50  // an attempt has ended: Relay, Ticket, Attempt, Endpoint, Note, Took, Status, Settled, Report
	EvExpired  EventCode = 60  // a message was withdrawn: Relay, Ticket
	EvAlarm    EventCode = 70  // a timer is due: Relay, Token
	EvHealth   EventCode = 80  // a health check has ended: Relay, Endpoint, Status, Took, Report
	EvDatagram EventCode = 90  // a datagram has arrived: Relay, Text
	EvPowerOff EventCode = 100 // an instance ends: Relay
	EvTable    EventCode = 110 // an endpoint list to which later EvSync refer: Sheet, Entries
)

// SyncKind is the kind of a list update.
type SyncKind uint8

// Kinds of list update. A record with any other kind can't be decoded.
const (
	SyncCached SyncKind = 0
	SyncFailed SyncKind = 1
	SyncFull   SyncKind = 3
	SyncDelta  SyncKind = 4
)

// Status is how an attempt or a health check ended.
type Status uint8

// Statuses. A record with any other status can't be decoded.
const (
	StatusOK     Status = 0
	StatusMoot   Status = 249 // the attempt was not sent
	StatusCancel Status = 250
	StatusReset  Status = 251
	StatusNoConn Status = 252
	StatusLate   Status = 253 // the attempt timed out
	StatusFull   Status = 254 // the endpoint rejected the call
	StatusError  Status = 255
)

func (s Status) isKnown() bool { return s == StatusOK || s >= StatusMoot }

// Entry is one entry of an endpoint list.
type Entry struct {
	Endpoint uint64 // four bytes of address and two of port
	Zone     uint16
	Kind     uint8
	Dest     uint16
	State    uint8
	Nominal  float32 // calls a second that the destination accepts
	CameUp   uint64  // when the endpoint came up, in microseconds
}

// Event is one decoded record. Code says which fields are set; times are in microseconds.
type Event struct {
	Code         EventCode
	Relay        uint16
	Kind         SyncKind
	Sheet        uint8 // EvTable: number that the endpoint list gets; EvSync: number of the list that it refers to
	Status       Status
	Attempt      uint8
	Settled      bool // the client has had its final response
	Class        uint16
	Flags        uint16 // bit 0: Estimate is set
	Dest         uint16
	Ticket       uint32 // number of the message
	Tenant       uint32
	Grace        uint32 // time left until the deadline
	Estimate     uint32 // expected cost
	Note         uint32 // StatusFull: milliseconds to wait before a retry; StatusMoot: 1 if all call slots were taken
	Took         uint32
	Endpoint     uint64
	Subject      uint64 // key of the message; 0 for none
	Token        uint64
	ReportFields int // number of values in Report
	Report       [maxValues]float32
	Text         []byte
	Entries      []Entry
}

func (e *Event) decode(record, tail []byte) error {
	e.Code = EventCode(record[0])
	if e.Code == EvTable {
		return e.decodeTable(record, tail)
	}
	e.Relay = byteOrder.Uint16(record[1:])
	switch e.Code {
	case EvUp:
		return e.decodeUp(record, tail)
	case EvSync:
		return e.decodeSync(record)
	case EvCall:
		return e.decodeCall(record)
	case EvBegun:
		e.decodeBegun(record)
	case EvResolved:
		return e.decodeResolved(record)
	case EvExpired:
		e.Ticket = byteOrder.Uint32(record[3:])
	case EvAlarm:
		e.Token = byteOrder.Uint64(record[3:])
	case EvHealth:
		return e.decodeHealth(record)
	case EvDatagram:
		return e.decodeDatagram(record, tail)
	case EvPowerOff:
	default:
		return fmt.Errorf("unknown event code %d", e.Code)
	}
	return nil
}

func (e *Event) decodeTable(record, tail []byte) error {
	e.Sheet = record[1]
	if e.Sheet > maxList {
		return fmt.Errorf("table: list number %d, at most %d", e.Sheet, maxList)
	}
	raw, err := sliceTail(tail, record[2:], entrySize)
	if err != nil {
		return fmt.Errorf("table: %w", err)
	}
	e.Entries, err = decodeEntries(raw)
	return err
}

func (e *Event) decodeUp(record, tail []byte) (err error) {
	e.Token = byteOrder.Uint64(record[3:])
	if e.Text, err = sliceTail(tail, record[11:], 1); err != nil {
		return fmt.Errorf("up: %w", err)
	}
	return nil
}

func (e *Event) decodeSync(record []byte) error {
	e.Kind = SyncKind(record[3])
	e.Token = byteOrder.Uint64(record[4:])
	e.Sheet = record[12]
	switch e.Kind {
	case SyncCached, SyncFull, SyncDelta:
		if e.Sheet > maxList {
			return fmt.Errorf("sync: list number %d, at most %d", e.Sheet, maxList)
		}
	case SyncFailed: // a failed request has no list
	default:
		return fmt.Errorf("sync: unknown kind %d", e.Kind)
	}
	return nil
}

func (e *Event) decodeCall(record []byte) error {
	e.Ticket = byteOrder.Uint32(record[3:])
	e.Subject = byteOrder.Uint64(record[7:])
	e.Grace = byteOrder.Uint32(record[15:])
	e.Flags = byteOrder.Uint16(record[19:])
	e.Class = byteOrder.Uint16(record[21:])
	dest := math.Float32frombits(byteOrder.Uint32(record[23:]))
	if !(dest >= 0 && dest <= math.MaxUint16) || dest != float32(uint16(dest)) {
		return fmt.Errorf("call: destination %v is no whole number from 0 to %d", dest, math.MaxUint16)
	}
	e.Dest = uint16(dest)
	e.Tenant = byteOrder.Uint32(record[27:])
	e.Estimate = byteOrder.Uint32(record[31:])
	return nil
}

func (e *Event) decodeBegun(record []byte) {
	e.Ticket = byteOrder.Uint32(record[3:])
	e.Attempt = record[7]
	e.Endpoint = readEndpoint(record[8:])
	e.Took = byteOrder.Uint32(record[14:])
}

func (e *Event) decodeResolved(record []byte) error {
	e.Ticket = byteOrder.Uint32(record[3:])
	e.Endpoint = readEndpoint(record[7:])
	e.Attempt = record[13]
	e.Note = byteOrder.Uint32(record[14:])
	e.Took = byteOrder.Uint32(record[18:])
	e.Status = Status(record[22])
	e.Settled = record[23] != 0
	if !e.Status.isKnown() {
		return fmt.Errorf("resolved: unknown status %d", e.Status)
	}
	if err := e.decodeReport(record[24:]); err != nil {
		return fmt.Errorf("resolved: %w", err)
	}
	return nil
}

func (e *Event) decodeHealth(record []byte) error {
	e.Endpoint = readEndpoint(record[3:])
	e.Status = Status(record[9])
	e.Took = byteOrder.Uint32(record[10:])
	if !e.Status.isKnown() {
		return fmt.Errorf("health_result: unknown status %d", e.Status)
	}
	if err := e.decodeReport(record[14:]); err != nil {
		return fmt.Errorf("health_result: %w", err)
	}
	return nil
}

func (e *Event) decodeDatagram(record, tail []byte) (err error) {
	if e.Text, err = sliceTail(tail, record[7:], 1); err != nil {
		return fmt.Errorf("datagram: %w", err)
	}
	return nil
}

// decodeReport decodes a load report: the number of its values, and a fixed number of fields, of which only the
// first that many are values.
func (e *Event) decodeReport(report []byte) error {
	e.ReportFields = int(report[0])
	if e.ReportFields > maxValues {
		return fmt.Errorf("report of %d values, at most %d", e.ReportFields, maxValues)
	}
	for i := range e.Report {
		e.Report[i] = math.Float32frombits(byteOrder.Uint32(report[1+4*i:]))
	}
	return nil
}

func decodeEntries(raw []byte) ([]Entry, error) {
	entries := make([]Entry, len(raw)/entrySize)
	for i := range entries {
		b := raw[i*entrySize:]
		entries[i] = Entry{
			Endpoint: readEndpoint(b),
			Zone:     byteOrder.Uint16(b[6:]),
			Kind:     b[8],
			Dest:     byteOrder.Uint16(b[9:]),
			State:    b[11],
			Nominal:  math.Float32frombits(byteOrder.Uint32(b[12:])),
			CameUp:   byteOrder.Uint64(b[16:]),
		}
		if entries[i].State > maxReadiness {
			return nil, fmt.Errorf("table: entry %d: unknown readiness %d", i, entries[i].State)
		}
	}
	return entries, nil
}
