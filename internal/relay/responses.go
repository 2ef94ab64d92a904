package relay

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// response is the encoded RESP reply to one command.
type response string

const (
	responseOK   response = "+OK\r\n"   // the message is accepted and logged
	responsePong response = "+PONG\r\n" // the relay accepts messages
)

// errDraining is the response to PING while the relay is draining.
var errDraining = errors.New("draining")

// busyResponse rejects a message. The client may submit it again, to any relay, after
// retryAfterMS milliseconds; 0 or less gives no time.
func busyResponse(retryAfterMS int64) response {
	if retryAfterMS <= 0 {
		return "-BUSY\r\n"
	}
	return response("-BUSY " + strconv.FormatInt(retryAfterMS, 10) + "\r\n")
}

// errorResponse sends the text of err to the client. Characters that are not printable
// ASCII are replaced by question marks, since they could end the line.
func errorResponse(err error) response {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error())
	return response("-ERR " + text + "\r\n")
}

// bulkStringHeader is the line before a bulk string of some bytes.
func bulkStringHeader(size int) []byte { return fmt.Appendf(nil, "$%d\r\n", size) }
