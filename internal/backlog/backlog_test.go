package backlog

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model is a simple reference implementation of Store: a list of all items in the order in
// which they were added.
type model []Item

func (m *model) remove(i int) Item {
	x := (*m)[i]
	*m = slices.Delete(*m, i, i+1)
	return x
}

// firstOrdered returns the position of the first ordered item of a destination,
// or -1 if there is none.
func (m model) firstOrdered(dest int) int {
	return slices.IndexFunc(m, func(x Item) bool { return x.Dest == dest && x.Flags&Ordered != 0 })
}

// nextOf returns the position of an item that Take may return next for a destination.
func (m model) nextOf(dest int) int {
	best := -1
	for i, x := range m {
		if x.Dest == dest && (x.Flags&Ordered == 0 || i == m.firstOrdered(dest)) && (best < 0 || x.LoadBy < m[best].LoadBy) {
			best = i
		}
	}
	return best
}

func (m model) earliestLoadBy() (at int64, ok bool) {
	for i, x := range m {
		if i == 0 || x.LoadBy < at {
			at = x.LoadBy
		}
	}
	return at, len(m) > 0
}

// A store returns the same items as the reference model.
func TestStoreMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Store
		var m model
		index := uint32(0)
		// Removes from the model an item that the store returned. Of several items with
		// the same LoadBy any may come first, but only the first of the ordered ones.
		removeFromModel := func(got Item, method string) {
			t.Helper()
			i := slices.IndexFunc(m, func(x Item) bool { return x == got })
			if i < 0 {
				t.Fatalf("%s returned %+v, which is not in the store", method, got)
			}
			if got.Flags&Ordered != 0 && i != m.firstOrdered(got.Dest) {
				t.Fatalf("%s returned %+v before %+v", method, got, m[m.firstOrdered(got.Dest)])
			}
			m.remove(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				index++
				x := Item{Entry{LoadBy: rapid.Int64Range(0, 30).Draw(t, "at"), Index: index, Flags: Flags(rapid.IntRange(0, 7).Draw(t, "flags"))},
					rapid.IntRange(0, 4).Draw(t, "dest")}
				s.Add(x.Dest, x.Entry)
				m = append(m, x)
			},
			"take": func(t *rapid.T) {
				dest, n := rapid.IntRange(0, 4).Draw(t, "dest"), rapid.IntRange(0, 5).Draw(t, "n")
				want := min(n, s.CountFor(dest))
				got := s.Take(dest, n)
				if len(got) != want {
					t.Fatalf("Take returned %d items, want %d", len(got), want)
				}
				for _, x := range got {
					if i := m.nextOf(dest); m[i].LoadBy != x.LoadBy {
						t.Fatalf("Take returned %+v before %+v", x, m[i])
					}
					removeFromModel(x, "take")
				}
			},
			"due": func(t *rapid.T) {
				now, n := rapid.Int64Range(-1, 31).Draw(t, "now"), rapid.IntRange(0, 8).Draw(t, "n")
				got := s.TakeDue(now, n)
				for _, x := range got {
					if at, _ := m.earliestLoadBy(); at > now {
						t.Fatalf("TakeDue returned %+v at %d, but the first item is due at %d", x, now, at)
					}
					if x.LoadBy > now { // allowed only for an ordered item before another one that is due
						if !slices.ContainsFunc(m, func(y Item) bool { return y.Dest == x.Dest && y.Flags&Ordered != 0 && y.LoadBy <= now }) || x.Flags&Ordered == 0 {
							t.Fatalf("TakeDue returned %+v at %d, before it is due", x, now)
						}
					}
					removeFromModel(x, "due")
				}
				if at, ok := m.earliestLoadBy(); len(got) < n && ok && at <= now {
					t.Fatalf("TakeDue returned %d of at most %d items although one is due at %d", len(got), n, at)
				}
			},
			"": func(t *rapid.T) {
				at, ok := s.Next()
				if want, wantOK := m.earliestLoadBy(); s.Len() != len(m) || ok != wantOK || at != want {
					t.Fatalf("%d items, the first due at %d (%v); want %d items, the first due at %d (%v)", s.Len(), at, ok, len(m), want, wantOK)
				}
				for dest := range 5 {
					n := 0
					for _, x := range m {
						if x.Dest == dest {
							n++
						}
					}
					if s.CountFor(dest) != n {
						t.Fatalf("%d items of destination %d, want %d", s.CountFor(dest), dest, n)
					}
				}
			},
		})
	})
}

// A million messages take 16 bytes each plus the spare capacity of growing slices, and the
// store frees this memory when they are removed.
func TestStoreUsesAndFreesBoundedMemory(t *testing.T) {
	heapBytes := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	const n = 1_000_000
	before := heapBytes()
	var s Store
	r := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		s.Add(i%600, Entry{LoadBy: r.Int64N(1e12), Index: uint32(i)})
	}
	if bytesPerMessage := float64(heapBytes()-before) / n; bytesPerMessage > 26 {
		t.Errorf("%.1f bytes per message, want at most 26", bytesPerMessage)
	} else {
		t.Logf("%.1f bytes per message", bytesPerMessage)
	}
	last := int64(-1)
	for _, x := range s.TakeDue(1e12, n) {
		if x.LoadBy < last {
			t.Fatal("items are not ordered by LoadBy")
		}
		last = x.LoadBy
	}
	if left := heapBytes() - before; left > 1<<20 || s.Len() != 0 {
		t.Errorf("%d bytes and %d messages are left after all were removed", left, s.Len())
	}
	runtime.KeepAlive(&s)
}

func BenchmarkStore(b *testing.B) {
	var s Store
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 300_000 {
		s.Add(7, Entry{LoadBy: r.Int64N(1e12), Index: uint32(i)})
	}
	for b.Loop() {
		s.Add(7, s.Take(7, 1)[0].Entry)
	}
}
