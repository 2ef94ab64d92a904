package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// maxListBytes bounds a list, and an update of a watch. The largest fleet
	// that is planned for has 31,000 members, 4.9 MB with long names.
	maxListBytes = 32 << 20
	// maxRetainedBufferBytes is the largest buffer that is reused for the next list.
	maxRetainedBufferBytes = 64 << 10
	// minPartialParseBytes is the size at which a list that goes on over several
	// lines is first parsed; after that, each time that its size has doubled.
	minPartialParseBytes = 4 << 10
)

// ListTooLargeError reports a list, or an update of a watch, over the size
// limit. Nothing of it was applied.
type ListTooLargeError struct {
	Size int64 // bytes; where discovery sent no length, those that were read before the limit was hit
	Max  int64 // the limit in bytes
}

// Error gives both sizes.
func (e *ListTooLargeError) Error() string {
	return fmt.Sprintf("a list of %d bytes or more, over the limit of %d", e.Size, e.Max)
}

// readListBody reads the body of a response that holds a complete list. It
// returns a ListTooLargeError for one of more than maxBytes.
func readListBody(resp *http.Response, maxBytes int) ([]byte, error) {
	if resp.ContentLength > int64(maxBytes) {
		return nil, &ListTooLargeError{Size: resp.ContentLength, Max: int64(maxBytes)}
	}
	var text bytes.Buffer
	if resp.ContentLength > 0 {
		text.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	if _, err := text.ReadFrom(io.LimitReader(resp.Body, int64(maxBytes)+1)); err != nil {
		return nil, err
	}
	if text.Len() > maxBytes {
		return nil, &ListTooLargeError{Size: int64(text.Len()), Max: int64(maxBytes)}
	}
	return text.Bytes(), nil
}

// listReader decodes the lists of a watch, one after another. Each ends with the
// end of a line, and may be indented over several. It is not safe for
// concurrent use.
type listReader struct {
	source   *bufio.Reader
	maxBytes int
	onWait   func(begun int) // called before each read, with the bytes in complete lines of a list that is not at its end yet
	onRead   func()          // called after each read

	buffer      []byte // of the list that is being read
	depth       int    // of braces and brackets that are open in buffer
	inString    bool
	escaped     bool // the last byte was a backslash in a string
	parsedBytes int  // bytes of buffer when it was last parsed
	atEOF       bool // the stream ended between two lists
}

func newListReader(r io.Reader, maxBytes int) *listReader {
	return &listReader{source: bufio.NewReader(r), maxBytes: maxBytes, onWait: func(int) {}, onRead: func() {}}
}

// errListTruncated reports a stream that ended within a list.
var errListTruncated = errors.New("the list is truncated")

// nextList returns the next list, or nil for an empty line, which is discovery's
// keepalive. At the end of the stream it returns the reader's error.
func (r *listReader) nextList() (*List, error) {
	for begun := 0; ; begun = len(r.buffer) {
		r.onWait(begun)
		end, err := r.readLine()
		r.onRead()
		if err != nil {
			return nil, err
		}
		if end != nil && len(bytes.TrimSpace(r.buffer)) == 0 {
			r.atEOF = true
			return nil, end
		}
		l, err := r.parseBuffered()
		if end != nil && (err != nil || l == nil) {
			return nil, errListTruncated
		}
		if err != nil {
			return nil, err
		}
		if len(r.buffer) == 0 {
			return l, nil
		}
	}
}

// readLine buffers the source to the end of a line. end is the reason for which
// the stream ended, or nil; err is a ListTooLargeError, or nil.
func (r *listReader) readLine() (end, err error) {
	for {
		piece, end := r.source.ReadSlice('\n')
		if err := r.appendPiece(piece); err != nil {
			return nil, err
		}
		if !errors.Is(end, bufio.ErrBufferFull) {
			return end, nil
		}
		r.onWait(0) // more of the same line, which may be long
	}
}

// appendPiece buffers a piece of a line and follows the nesting of the JSON in it.
func (r *listReader) appendPiece(piece []byte) error {
	if size := len(r.buffer) + len(piece); size > r.maxBytes {
		r.reset()
		return &ListTooLargeError{Size: int64(size), Max: int64(r.maxBytes)}
	}
	r.buffer = append(r.buffer, piece...)
	for _, c := range piece {
		switch {
		case r.escaped:
			r.escaped = false
		case r.inString:
			r.escaped, r.inString = c == '\\', c != '"'
		case c == '"':
			r.inString = true
		case c == '{' || c == '[':
			r.depth++
		case c == '}' || c == ']':
			r.depth--
		}
	}
	return nil
}

// parseBuffered parses the buffer at the end of a line. It returns the list if
// that is complete, and nil if it goes on. A long one is not parsed anew for each
// line, but soon enough that text which cannot become a list is rejected early.
func (r *listReader) parseBuffered() (*List, error) {
	if len(bytes.TrimSpace(r.buffer)) == 0 {
		r.reset()
		return nil, nil
	}
	if r.depth > 0 && len(r.buffer) < max(minPartialParseBytes, 2*r.parsedBytes) {
		return nil, nil
	}
	r.parsedBytes = len(r.buffer)
	l, err := Parse(r.buffer)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, nil
	}
	r.reset()
	return l, err
}

// reset empties the buffer, and frees it if it is large.
func (r *listReader) reset() {
	r.buffer, r.depth, r.inString, r.escaped, r.parsedBytes = r.buffer[:0], 0, false, false, 0
	if cap(r.buffer) > maxRetainedBufferBytes {
		r.buffer = nil
	}
}
