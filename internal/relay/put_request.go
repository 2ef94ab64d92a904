package relay

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"plovershore/internal/wal"
)

const (
	putArguments  = 5       // the command's name, a routing key that is always zero, the id, the fields and the body
	maxTokenBytes = 256     // maximum length of an id or an idempotency key
	maxDeadlineMS = 1e9     // about 11 days
	maxDest       = 1 << 16 // the highest destination number
	noTenant      = -1      // tenant of a message if the settings name no tenants
)

// putRequest is a message that a client submits. It is responded to exactly once.
type putRequest struct {
	record     *wal.Record
	class      int           // index in the settings
	tenant     int           // index in the settings, or noTenant
	receivedAt time.Time     // when the last byte of the command was read
	timeLeft   time.Duration // time from receivedAt to the message's deadline
	isPending  bool          // the log already holds this message
	responses  chan response // capacity 1, so that respond never blocks
}

// respond sends the one response to the client.
func (q *putRequest) respond(r response) { q.responses <- r }

// parsePutRequest parses the arguments of MSG.PUT. An error names the invalid field
// and is sent to the client unchanged.
func (c *Config) parsePutRequest(args [][]byte, now time.Time) (*putRequest, error) {
	if len(args) != putArguments {
		return nil, fmt.Errorf("MSG.PUT takes %d arguments, %d came", putArguments-1, len(args)-1)
	}
	id := string(args[2])
	if !isToken(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	fields, err := parsePutFields(string(args[3]))
	if err != nil {
		return nil, err
	}
	q := &putRequest{
		record:     &wal.Record{Kind: wal.KindAccepted, ID: id, Body: args[4]},
		receivedAt: now,
		responses:  make(chan response, 1),
	}
	if err := c.applyPutFields(q, fields); err != nil {
		return nil, err
	}
	return q, nil
}

// parsePutFields parses fields such as c=plain,d=1500. If a name occurs more than
// once, its last value is used.
func parsePutFields(text string) (map[string]string, error) {
	fields := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return nil, fmt.Errorf("field %q without a value", field)
		}
		fields[name] = value
	}
	return fields, nil
}

// applyPutFields validates the fields of MSG.PUT and sets them in q. Unknown
// names are ignored.
func (c *Config) applyPutFields(q *putRequest, fields map[string]string) error {
	var ok bool
	if q.class, ok = c.classes[fields["c"]]; !ok {
		return fmt.Errorf("c: unknown class %q", fields["c"])
	}
	q.record.Class = fields["c"]
	if q.tenant, ok = c.tenants[fields["t"]]; !ok {
		if len(c.tenants) > 0 {
			return fmt.Errorf("t: unknown tenant %q", fields["t"])
		}
		q.tenant = noTenant
	}
	q.record.Tenant = fields["t"]
	ms, err := strconv.ParseFloat(fields["d"], 64)
	if err != nil || !(ms >= 0 && ms <= maxDeadlineMS) { // NaN fails the comparisons too
		return fmt.Errorf("d: %q is no time in milliseconds", fields["d"])
	}
	q.timeLeft = time.Duration(ms * float64(time.Millisecond))
	if q.record.Dest, err = strconv.Atoi(fields["dest"]); err != nil || q.record.Dest < 0 || q.record.Dest > maxDest {
		return fmt.Errorf("dest: %q is no destination", fields["dest"])
	}
	if q.record.Key = fields["k"]; q.record.Key != "" && !isToken(q.record.Key) {
		return errors.New("k: too long or not plain")
	}
	if q.record.Key == "" && c.isKeyed(q.class) {
		return errors.New("k: missing in a keyed class")
	}
	return nil
}

// isToken reports whether s can be sent as the value of an HTTP header unchanged.
func isToken(s string) bool {
	if s == "" || len(s) > maxTokenBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
