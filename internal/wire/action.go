package wire

import "fmt"

// ActionCode is the kind of an action.
type ActionCode uint8

// Codes of actions. Each comment lists the fields of Action that are used beside Code.
const (
	ActDeliver     ActionCode = 20  // send a message: Relay, Ticket, Endpoint, At (when it times out)
	ActReject      ActionCode = 30  // final response that the message has not run: Relay, Ticket, After (advice to the client)
	ActLog         ActionCode = 40  // write a line to the log: Relay, Text
	ActListen      ActionCode = 50  // subscribe to list changes, or end that: Relay, On
	ActRemind      ActionCode = 60  // start a timer: Relay, After, Token
	ActLose        ActionCode = 70  // final response that the message may have run: Relay, Ticket
	ActHealthCheck ActionCode = 80  // start a health check: Relay, Endpoint
	ActRead        ActionCode = 90  // ask for the whole list: Relay
	ActBug         ActionCode = 100 // the instance can't go on: Relay, Text
	ActClose       ActionCode = 110 // close idle connections: Relay, Endpoint
	ActCancel      ActionCode = 120 // cancel an attempt: Relay, Ticket, Attempt
)

// Action is one record to encode. Code says which fields are used; times are in microseconds.
type Action struct {
	Code     ActionCode
	Relay    uint16
	Attempt  uint8
	On       bool
	Ticket   uint32 // number of a message
	After    uint32
	Endpoint uint64
	At       uint64
	Token    uint64
	Text     string
}

// AppendReply appends an encoded reply frame to dst. It returns an error for an unknown action code.
func AppendReply(dst []byte, actions []Action) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, replyHeader+actionSize*len(actions))...)
	tailStart := len(dst)
	for i := range actions {
		action := &actions[i]
		record := dst[start+replyHeader+i*actionSize:][:actionSize]
		if err := action.encode(record, len(dst)-tailStart); err != nil {
			return nil, err
		}
		dst = append(dst, action.tailText()...)
	}
	byteOrder.PutUint32(dst[start:], uint32(len(dst)-start-replyHeader))
	byteOrder.PutUint32(dst[start+4:], uint32(len(actions)))
	return dst, nil
}

// tailText returns the text that an action puts into the tail, if any.
func (a *Action) tailText() string {
	if a.Code == ActLog || a.Code == ActBug {
		return a.Text
	}
	return ""
}

// encode writes an action into its record. textOffset is where the action's text, if any, begins in the tail.
func (a *Action) encode(record []byte, textOffset int) error {
	record[0] = byte(a.Code)
	byteOrder.PutUint16(record[1:], a.Relay)
	switch a.Code {
	case ActDeliver:
		byteOrder.PutUint32(record[3:], a.Ticket)
		putEndpoint(record[7:], a.Endpoint)
		byteOrder.PutUint64(record[13:], a.At)
	case ActReject:
		byteOrder.PutUint32(record[3:], a.Ticket)
		byteOrder.PutUint32(record[7:], a.After)
	case ActLose:
		byteOrder.PutUint32(record[3:], a.Ticket)
	case ActCancel:
		byteOrder.PutUint32(record[3:], a.Ticket)
		record[7] = a.Attempt
	case ActRemind:
		byteOrder.PutUint32(record[3:], a.After)
		byteOrder.PutUint64(record[7:], a.Token)
	case ActHealthCheck, ActClose:
		putEndpoint(record[3:], a.Endpoint)
	case ActListen:
		if a.On {
			record[3] = 1
		}
	case ActRead:
	case ActLog, ActBug:
		byteOrder.PutUint32(record[3:], uint32(textOffset))
		byteOrder.PutUint32(record[7:], uint32(len(a.Text)))
	default:
		return fmt.Errorf("unknown action code %d", a.Code)
	}
	return nil
}
