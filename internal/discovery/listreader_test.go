package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// makeList returns a complete list with ids of idLength characters.
func makeList(revision int64, members, idLength int) *List {
	l := &List{Revision: revision, Complete: true}
	for i := range members {
		id := fmt.Sprintf("s-%0*d", idLength-2, i)
		l.Members = append(l.Members, Member{ID: id, HostPort: "127.0.0.1:6379", Locality: "a", Flavor: "agent", Cell: i, Phase: Up, Size: 1})
	}
	return l
}

func encodeList(t *testing.T, l *List, indented bool) string {
	t.Helper()
	text, err := json.Marshal(l)
	if indented {
		text, err = json.MarshalIndent(l, "", "  ")
	}
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// All lists are decoded in order, whether they are indented or not, however the
// stream is split into reads, and with empty lines between them.
func TestListReaderDecodesListsFromReadsOfAnySize(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	for range 200 {
		var text strings.Builder
		count := 1 + random.IntN(5)
		for i := range count {
			l := makeList(int64(i), random.IntN(60), 10)
			if len(l.Members) == 0 {
				l.Members = []Member{}
			} else {
				l.Members[0].Locality = "}]{\\\"\n["
			}
			text.WriteString(strings.Repeat("\n", random.IntN(3)))
			text.WriteString(encodeList(t, l, random.IntN(2) == 0) + "\n")
		}
		stream := text.String()
		if random.IntN(4) == 0 {
			stream = strings.TrimRight(stream, "\n") // the stream may end without a final newline
		}
		r := newListReader(&chunkReader{stream, random}, maxListBytes)
		for i := 0; i < count; {
			l, err := r.nextList()
			if err != nil {
				t.Fatalf("list %d: %v", i, err)
			}
			if l != nil {
				if l.Revision != int64(i) {
					t.Fatalf("list %d has revision %d", i, l.Revision)
				}
				i++
			}
		}
		for {
			l, err := r.nextList()
			if l != nil || err != nil && !errors.Is(err, io.EOF) {
				t.Fatalf("after the last list nextList returns %v, %v", l, err)
			}
			if err != nil {
				break
			}
		}
		if !r.atEOF {
			t.Fatal("the end of the stream after a complete list counts as within a list")
		}
	}
}

// chunkReader is a reader that returns a text in pieces of random size.
type chunkReader struct {
	text   string
	random *rand.Rand
}

func (r *chunkReader) Read(b []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(b[:1+r.random.IntN(len(b))], r.text)
	r.text = r.text[n:]
	return n, nil
}

// A list that is truncated or larger than the limit is an error, and the buffer of
// a large list is freed.
func TestListReaderRejectsTruncatedAndTooLargeLists(t *testing.T) {
	largeList := encodeList(t, makeList(1, 31000, 34), false)
	r := newListReader(strings.NewReader(largeList+"\n\n"+largeList[:len(largeList)/2]), maxListBytes)
	if l, err := r.nextList(); err != nil || len(l.Members) != 31000 {
		t.Fatal(err)
	}
	if l, err := r.nextList(); l != nil || err != nil {
		t.Fatalf("for an empty line nextList returns %v, %v; want nil, nil", l, err)
	}
	if cap(r.buffer) > maxRetainedBufferBytes {
		t.Errorf("a buffer of %d bytes is retained after a large list", cap(r.buffer))
	}
	if _, err := r.nextList(); !errors.Is(err, errListTruncated) || r.atEOF {
		t.Errorf("the error for a truncated list is %v", err)
	}
	for _, indented := range []bool{false, true} {
		text := encodeList(t, makeList(1, 1000, 34), indented) + "\n"
		atLimit := newListReader(strings.NewReader(text), len(text))
		if l, err := atLimit.nextList(); err != nil || len(l.Members) != 1000 {
			t.Errorf("a list of exactly the maximum size is rejected: %v", err)
		}
		overLimit := newListReader(strings.NewReader(text), len(text)-1)
		_, err := overLimit.nextList()
		var tooLarge *ListTooLargeError
		if !errors.As(err, &tooLarge) || tooLarge.Max != int64(len(text)-1) || tooLarge.Size <= tooLarge.Max {
			t.Errorf("the error for a list over the maximum size is %v", err)
		}
		if cap(overLimit.buffer) > maxRetainedBufferBytes {
			t.Errorf("a buffer of %d bytes is retained after a list that is too large", cap(overLimit.buffer))
		}
	}
}

// Text that cannot become a valid list is rejected as malformed before it reaches the
// size limit, though its first brace is never closed.
func TestListReaderRejectsMalformedTextBeforeLimit(t *testing.T) {
	r := newListReader(io.MultiReader(strings.NewReader("{\"revision\":1,\n"), &endlessMalformed{}), maxListBytes)
	_, err := r.nextList()
	var tooLarge *ListTooLargeError
	if err == nil || errors.As(err, &tooLarge) {
		t.Errorf("the error for endless malformed text is %v", err)
	}
}

// endlessMalformed is a reader of malformed JSON that never ends.
type endlessMalformed struct{}

func (*endlessMalformed) Read(b []byte) (int, error) {
	return copy(b, bytes.Repeat([]byte("{]\n{"), 1+len(b)/4)), nil
}
