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
	// maxListBytes bounds a list, and an update of a watch. The list of the largest
	// planned fleet has 31,000 members and 4.9 MB, if their names are long.
	maxListBytes = 32 << 20
	// maxRetainedBufferBytes is the largest buffer that is reused for the next list.
	maxRetainedBufferBytes = 64 << 10
	// minPartialParseBytes is the size at which an unfinished list of several lines
	// is first parsed, to reject it early if it is malformed. It is parsed again each
	// time that its size has doubled.
	minPartialParseBytes = 4 << 10
)

// ListTooLargeError reports a list, or an update of a watch, over the size
// limit. Nothing of it was applied.
type ListTooLargeError struct {
	Size int64 // bytes of the list; if discovery sent no length, the bytes that were read until the limit was exceeded
	Max  int64 // the limit in bytes
}

// Error gives both sizes.
func (e *ListTooLargeError) Error() string {
	return fmt.Sprintf("a list of %d bytes or more, over the limit of %d", e.Size, e.Max)
}

// readListBody reads the body of a response that holds a complete list. For a
// body of more than maxBytes it returns a ListTooLargeError.
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

// listReader decodes the lists that a watch receives, one after another. A list
// may be indented over several lines, and ends at the end of a line. A listReader
// is not safe for concurrent use.
type listReader struct {
	source   *bufio.Reader
	maxBytes int
	onWait   func(unfinished int) // called before each read; unfinished is the size of an unfinished list whose next line is read, or 0
	onRead   func()               // called when a line was read, or the stream has ended

	buffer      []byte // what was read so far of the current list
	depth       int    // how many braces and brackets are open in buffer
	inString    bool   // buffer ends within a JSON string
	escaped     bool   // the last byte was a backslash in a string
	parsedBytes int    // length of buffer when it was last parsed
	atEOF       bool   // the stream ended between two lists
}

func newListReader(r io.Reader, maxBytes int) *listReader {
	return &listReader{source: bufio.NewReader(r), maxBytes: maxBytes, onWait: func(int) {}, onRead: func() {}}
}

// errListTruncated reports that the stream ended within a list.
var errListTruncated = errors.New("the list is truncated")

// nextList returns the next list, or nil for an empty line, which discovery sends
// as a keepalive. At the end of the stream it returns the error of the source, or
// errListTruncated within a list.
func (r *listReader) nextList() (*List, error) {
	for unfinished := 0; ; unfinished = len(r.buffer) {
		r.onWait(unfinished)
		streamErr, err := r.readLine()
		r.onRead()
		if err != nil {
			return nil, err
		}
		if streamErr != nil && len(bytes.TrimSpace(r.buffer)) == 0 {
			r.atEOF = true
			return nil, streamErr
		}
		l, err := r.parseBuffered()
		if streamErr != nil && (err != nil || l == nil) {
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

// readLine reads the source into the buffer up to the end of a line. The first
// result is the error with which the stream ended, or nil; the second is a
// ListTooLargeError, or nil.
func (r *listReader) readLine() (streamErr, err error) {
	for {
		piece, streamErr := r.source.ReadSlice('\n')
		if err := r.appendPiece(piece); err != nil {
			return nil, err
		}
		if !errors.Is(streamErr, bufio.ErrBufferFull) {
			return streamErr, nil
		}
		r.onWait(0) // the line is longer than the source's buffer, and its rest is read next
	}
}

// appendPiece appends a piece of a line to the buffer and tracks the nesting of its
// JSON.
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

// parseBuffered parses the buffer at the end of a line. It returns the list if it is
// complete, and nil if it goes on in the next line or the buffer has only white space,
// which is dropped. An unfinished list is not parsed
// at each of its lines, but often enough that malformed text is rejected early.
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
