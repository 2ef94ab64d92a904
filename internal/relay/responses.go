package relay

import (
	"errors"
	"strconv"
	"strings"
)

// response is the encoded RESP reply to one command.
type response string

const (
	responseOK   response = "+OK\r\n"   // the message is accepted and logged
	responsePong response = "+PONG\r\n" // the relay accepts messages
)

// errDraining is the answer to PING while the relay accepts no messages.
var errDraining = errors.New("draining")

// busyResponse rejects a message that the client may submit again after
// retryAfterMS milliseconds, to any relay; 0 or less gives no time.
func busyResponse(retryAfterMS int64) response {
	if retryAfterMS <= 0 {
		return "-BUSY\r\n"
	}
	return response("-BUSY " + strconv.FormatInt(retryAfterMS, 10) + "\r\n")
}

// errorResponse reports err. Bytes that would end the line or are not plain
// ASCII are replaced.
func errorResponse(err error) response {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error())
	return response("-ERR " + text + "\r\n")
}

// bulkStringResponse returns the argument of a PING to its client.
func bulkStringResponse(text []byte) response {
	return response("$" + strconv.Itoa(len(text)) + "\r\n" + string(text) + "\r\n")
}
