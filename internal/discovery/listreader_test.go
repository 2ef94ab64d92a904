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

func listOf(revision int64, members, idLength int) *List {
	l := &List{Revision: revision, Complete: true}
	for i := range members {
		id := fmt.Sprintf("s-%0*d", idLength-2, i)
		l.Members = append(l.Members, Member{ID: id, HostPort: "127.0.0.1:6379", Locality: "a", Flavor: "agent", Cell: i, Phase: Up, Size: 1})
	}
	return l
}

func asText(t *testing.T, l *List, indented bool) string {
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

// Lists are decoded completely and in order however they are written and split
// into pieces, with empty lines between them.
func TestListReaderPieces(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	for range 200 {
		var text strings.Builder
		count := 1 + random.IntN(5)
		for i := range count {
			l := listOf(int64(i), random.IntN(60), 10)
			if len(l.Members) == 0 {
				l.Members = []Member{}
			} else {
				l.Members[0].Locality = "}]{\\\"\n["
			}
			text.WriteString(strings.Repeat("\n", random.IntN(3)))
			text.WriteString(asText(t, l, random.IntN(2) == 0) + "\n")
		}
		all := text.String()
		if random.IntN(4) == 0 {
			all = strings.TrimRight(all, "\n") // the last line may end with the stream
		}
		r := newListReader(&pieces{all, random}, maxListBytes)
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
				t.Fatalf("at the end %v, %v", l, err)
			}
			if err != nil {
				break
			}
		}
		if !r.atEOF {
			t.Fatal("the end of the stream counts as a truncated list")
		}
	}
}

// pieces reads a text in pieces of random size.
type pieces struct {
	text   string
	random *rand.Rand
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b[:1+p.random.IntN(len(b))], p.text)
	p.text = p.text[n:]
	return n, nil
}

// A truncated list and one that is too large are errors, and the buffer of a
// large one is freed.
func TestListReaderLimits(t *testing.T) {
	whole := asText(t, listOf(1, 31000, 34), false)
	r := newListReader(strings.NewReader(whole+"\n\n"+whole[:len(whole)/2]), maxListBytes)
	if l, err := r.nextList(); err != nil || len(l.Members) != 31000 {
		t.Fatal(err)
	}
	if l, err := r.nextList(); l != nil || err != nil {
		t.Fatalf("an empty line is %v, %v", l, err)
	}
	if cap(r.buffer) > maxRetainedBufferBytes {
		t.Errorf("%d bytes are retained for the next line", cap(r.buffer))
	}
	if _, err := r.nextList(); !errors.Is(err, errListTruncated) || r.atEOF {
		t.Errorf("a truncated list is %v", err)
	}
	for _, indented := range []bool{false, true} {
		text := asText(t, listOf(1, 1000, 34), indented) + "\n"
		exact := newListReader(strings.NewReader(text), len(text))
		if l, err := exact.nextList(); err != nil || len(l.Members) != 1000 {
			t.Errorf("a list of the limit's size: %v", err)
		}
		over := newListReader(strings.NewReader(text), len(text)-1)
		_, err := over.nextList()
		var tooLarge *ListTooLargeError
		if !errors.As(err, &tooLarge) || tooLarge.Max != int64(len(text)-1) || tooLarge.Size <= tooLarge.Max {
			t.Errorf("a list over the limit: %v", err)
		}
		if cap(over.buffer) > maxRetainedBufferBytes {
			t.Errorf("%d bytes are retained of a list that is too large", cap(over.buffer))
		}
	}
}

// Text that cannot become a list is rejected long before the limit, though no
// brace closes it.
func TestListReaderNoticesNonsense(t *testing.T) {
	r := newListReader(io.MultiReader(strings.NewReader("{\"revision\":1,\n"), &endless{}), maxListBytes)
	_, err := r.nextList()
	var tooLarge *ListTooLargeError
	if err == nil || errors.As(err, &tooLarge) {
		t.Errorf("endless nonsense is %v", err)
	}
}

type endless struct{}

func (*endless) Read(b []byte) (int, error) {
	return copy(b, bytes.Repeat([]byte("{]\n{"), 1+len(b)/4)), nil
}
