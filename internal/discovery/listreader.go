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
	// maxListBytes bounds a list, and a line of a watch. The largest fleet that
	// is planned for has 31,000 members, 4.9 MB with long names.
	maxListBytes = 32 << 20
	// maxKeptBufferBytes is how much of the memory for a line is kept for the next.
	maxKeptBufferBytes = 64 << 10
	// minPartialParseBytes is the size at which a list that goes on over several
	// lines is tried first; later tries come at twice the size of the last.
	minPartialParseBytes = 4 << 10
)

// ListTooLargeError is a list, or a line of a watch, over the limit. Nothing
// of it was used.
type ListTooLargeError struct {
	Size int64 // bytes; where discovery did not say, those that had come when it was given up
	Max  int64 // bytes that are taken
}

func (e *ListTooLargeError) Error() string {
	return fmt.Sprintf("a list of %d bytes or more, over the limit of %d", e.Size, e.Max)
}

// readList reads the body of an answer that holds a whole list.
func readList(resp *http.Response, maxBytes int) ([]byte, error) {
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

// listReader reads the lists of a watch, one after another. Each ends with the
// end of a line, and may be indented over several.
type listReader struct {
	in          *bufio.Reader
	maxBytes    int
	onWait      func(begun int) // called before each read; so many bytes, in whole lines, of a list have come, and its end has not
	onRead      func()          // called after it
	buffer      []byte          // of the list that is being read
	depth       int             // of braces and brackets that are open in buffer
	inString    bool
	escaped     bool // the last byte was a backslash in a string
	parsedBytes int  // bytes of buffer when it was last parsed
	ended       bool // the stream is over, with no list cut
}

func newListReader(r io.Reader, maxBytes int) *listReader {
	return &listReader{in: bufio.NewReader(r), maxBytes: maxBytes, onWait: func(int) {}, onRead: func() {}}
}

// errListCut is a stream that ends within a list.
var errListCut = errors.New("a line was cut")

// next gives the next list, or nil for an empty line, by which discovery says
// that nothing has changed.
func (r *listReader) next() (*List, error) {
	for begun := 0; ; begun = len(r.buffer) {
		r.onWait(begun)
		end, err := r.readLine()
		r.onRead()
		if err != nil {
			return nil, err
		}
		if end != nil && len(bytes.TrimSpace(r.buffer)) == 0 {
			r.ended = true
			return nil, end
		}
		l, err := r.parseBuffered()
		if end != nil && (err != nil || l == nil) {
			return nil, errListCut
		}
		if err != nil {
			return nil, err
		}
		if len(r.buffer) == 0 {
			return l, nil
		}
	}
}

// readLine reads to the end of a line. end is why the stream ended, or nil; err is
// a list that is too large.
func (r *listReader) readLine() (end, err error) {
	for {
		piece, end := r.in.ReadSlice('\n')
		if err := r.appendPiece(piece); err != nil {
			return nil, err
		}
		if !errors.Is(end, bufio.ErrBufferFull) {
			return end, nil
		}
		r.onWait(0) // the rest of a line, which may be long
	}
}

// appendPiece takes in a piece of a line.
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

// parseBuffered looks at the buffer at the end of a line. It gives a list that
// is at its end, and nothing for one that is not. A long one is not parsed anew with each
// line, but soon enough for what cannot become a list to be noticed.
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

// reset forgets the buffer, and gives its memory back where it was a lot.
func (r *listReader) reset() {
	r.buffer, r.depth, r.inString, r.escaped, r.parsedBytes = r.buffer[:0], 0, false, false, 0
	if cap(r.buffer) > maxKeptBufferBytes {
		r.buffer = nil
	}
}
