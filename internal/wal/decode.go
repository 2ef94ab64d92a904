package wal

import (
	"bytes"
	"encoding/binary"
)

// payloadDecoder decodes fields from the start of a payload. If the payload is too short
// for a field, failed is set and this and all later fields are zero.
type payloadDecoder struct {
	remaining []byte
	failed    bool
}

func (d *payloadDecoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.remaining)
	if !d.skip(n) {
		return 0
	}
	return v
}

func (d *payloadDecoder) varint() int64 {
	v, n := binary.Varint(d.remaining)
	if !d.skip(n) {
		return 0
	}
	return v
}

// skip drops the next n bytes. It fails if there are fewer.
func (d *payloadDecoder) skip(n int) bool {
	if n <= 0 || n > len(d.remaining) {
		d.fail()
		return false
	}
	d.remaining = d.remaining[n:]
	return true
}

func (d *payloadDecoder) fail() { d.remaining, d.failed = nil, true }

func (d *payloadDecoder) byte() byte {
	if len(d.remaining) == 0 {
		d.failed = true
		return 0
	}
	v := d.remaining[0]
	d.remaining = d.remaining[1:]
	return v
}

func (d *payloadDecoder) bool() bool { return d.byte() == 1 }

func (d *payloadDecoder) string() string {
	n := d.uvarint()
	if d.failed || n > uint64(len(d.remaining)) {
		d.fail()
		return ""
	}
	s := string(d.remaining[:n])
	d.remaining = d.remaining[n:]
	return s
}

// decodePayload decodes a payload into r, whose Kind is set. It does not decode the message
// that an accepted record or a message state contains, but returns it in encoded form.
func decodePayload(r *Record, payload []byte) (message []byte, ok bool) {
	d := payloadDecoder{remaining: payload}
	r.HandoffOffset = int64(d.uvarint())
	switch r.Kind {
	case KindAccepted:
		return d.remaining, !d.failed
	case kindMessageState:
		d.messageState(r)
		return d.remaining, !d.failed
	case KindAttempt:
		r.At = d.varint()
		r.Zone = int(d.varint())
		r.Process = int(d.uvarint())
		r.Endpoint = d.string()
	case KindOutcome, KindCompleted:
		d.outcome(r)
	case KindCompleting:
		r.Notice = d.string()
		r.RetryMS = d.varint()
	case KindOwner:
		r.Process = int(d.uvarint())
		r.HandoffCapacity = d.varint()
		r.livingProcess = int(d.uvarint())
	case KindHandoff:
		r.Body = bytes.Clone(d.remaining)
	case kindBatchStart, kindSegmentSeal, kindCheckpointEnd:
		r.At = int64(d.uvarint())
	default:
		return nil, false
	}
	return nil, !d.failed
}

// messageState decodes what appendMessageState encodes.
func (d *payloadDecoder) messageState(r *Record) {
	r.HandoffOffset = 0
	r.At = int64(d.uvarint())
	r.Latency = int64(d.uvarint())
	r.Attempts = int(d.uvarint())
	r.UnknownOutcomeAt = d.varint()
	r.UnknownOutcomeZone = int(d.varint())
	r.InFlightSince = d.varint()
	r.InFlightZone = int(d.varint())
	r.InFlightProcess = int(d.uvarint())
	r.InFlightEndpoint = d.string()
	r.Notice = d.string()
	r.RetryMS = d.varint()
	r.Corrupted = d.bool()
}

// outcome decodes what appendOutcome encodes.
func (d *payloadDecoder) outcome(r *Record) {
	r.MayHaveRun = d.bool()
	r.OutcomeCode = d.byte()
	r.RetryAt = d.varint()
	r.Latency = d.varint()
	r.CallsExhausted = d.bool()
	r.LocalFailure = len(d.remaining) > 0 && d.bool()
}

// decodeMessage decodes what appendMessage encodes.
func decodeMessage(r *Record, message []byte) bool {
	d := payloadDecoder{remaining: message}
	r.Class = d.string()
	r.Tenant = d.string()
	r.Key = d.string()
	r.Dest = int(d.uvarint())
	r.Deadline = d.varint()
	r.Body = bytes.Clone(d.remaining)
	return !d.failed
}
