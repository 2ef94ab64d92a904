package wal_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"plovershore/internal/wal"
	"plovershore/internal/wal/cutfs"
)

// promised is what a log has said so far, and what was asked of it last and may
// or may not be kept.
type promised struct {
	owed   map[string]string // body
	doubt  map[string]bool   // an attempt is out or may have run: booked
	over   map[string]bool
	asking []*wal.Record
}

func newPromised() *promised {
	return &promised{owed: map[string]string{}, doubt: map[string]bool{}, over: map[string]bool{}}
}

func (p *promised) book(r *wal.Record) {
	switch r.Kind {
	case wal.KindAccepted:
		p.owed[r.ID] = string(r.Body)
		delete(p.over, r.ID)
	case wal.KindAttempt:
		p.doubt[r.ID] = true
	case wal.KindOutcome:
		if !r.MayHaveRun {
			delete(p.doubt, r.ID)
		}
	case wal.KindCompleted:
		delete(p.owed, r.ID)
		delete(p.doubt, r.ID)
		p.over[r.ID] = true
	}
}

// holds tells where a folder says less than was promised.
func (p *promised) holds(recs []*wal.Record) error {
	have := map[string]*wal.Record{}
	for _, r := range recs {
		if have[r.ID] != nil {
			return fmt.Errorf("%s is there twice", r.ID)
		}
		have[r.ID] = r
	}
	asking := func(id string, kinds ...wal.Kind) bool {
		return slices.ContainsFunc(p.asking, func(r *wal.Record) bool { return r.ID == id && slices.Contains(kinds, r.Kind) })
	}
	for id, body := range p.owed {
		switch r := have[id]; {
		case r == nil && !asking(id, wal.KindCompleted):
			return fmt.Errorf("%s was taken on, and is not there", id)
		case r != nil && (string(r.Body) != body && !asking(id, wal.KindAccepted) || r.Corrupted):
			return fmt.Errorf("%s came back with %d bytes, lost %v", id, len(r.Body), r.Corrupted)
		case r != nil && p.doubt[id] && r.UnknownOutcomeAt == 0 && r.InFlightSince == 0 && !asking(id, wal.KindOutcome, wal.KindAccepted):
			return fmt.Errorf("%s was sent, and comes back as one that was not", id)
		}
	}
	for id := range have {
		if p.over[id] && !asking(id, wal.KindAccepted) {
			return fmt.Errorf("%s was over, and is there again", id)
		}
	}
	return nil
}

const cutDir = "/state"

func openCut(fs *cutfs.FS, promise wal.Durability) (*wal.Log, []*wal.Record, error) {
	l, err := wal.Open(wal.Options{Dir: cutDir, Limit: 1 << 20, Durability: promise, FS: fs})
	if err != nil {
		return nil, nil, err
	}
	return l, l.Next(1 << 20), nil
}

// drive hands records to an open log one by one, as its goroutine would.
func drive(l *wal.Log, p *promised, recs []*wal.Record) (errs int) {
	for _, r := range recs {
		p.asking = []*wal.Record{r}
		err := l.AppendNow(r)
		p.asking = nil
		if err == nil {
			p.book(r)
		} else {
			errs++
		}
	}
	return errs
}

func history(r *rand.Rand, n int) (recs []*wal.Record) {
	live := []string{}
	out := map[string]bool{}
	for i := range n {
		if len(live) == 0 || r.IntN(3) == 0 {
			id := fmt.Sprintf("m-%d", i)
			live = append(live, id)
			recs = append(recs, &wal.Record{Kind: wal.KindAccepted, ID: id, Class: "once", Dest: 1, Deadline: 1e15, Body: []byte(strings.Repeat(string(rune('a'+i%26)), r.IntN(1200)))})
			continue
		}
		at := r.IntN(len(live))
		id := live[at]
		switch {
		case out[id] && r.IntN(2) == 0:
			recs = append(recs, &wal.Record{Kind: wal.KindOutcome, ID: id, MayHaveRun: r.IntN(2) == 0})
			out[id] = false
		case out[id] || r.IntN(4) == 0:
			recs = append(recs, &wal.Record{Kind: wal.KindCompleted, ID: id})
			live = slices.Delete(live, at, at+1)
			out[id] = false
			if r.IntN(4) == 0 { // an id that comes again
				live = append(live, id)
				recs = append(recs, &wal.Record{Kind: wal.KindAccepted, ID: id, Class: "once", Dest: 1, Deadline: 1e15, Body: []byte("again")})
			}
		default:
			recs = append(recs, &wal.Record{Kind: wal.KindAttempt, ID: id, At: int64(i + 1), Process: 1, Endpoint: "s-1", Sync: true})
			out[id] = true
		}
	}
	return recs
}

// checkCut opens what a cut left, twice, and compares it with the promises.
func checkCut(fs *cutfs.FS, p *promised, keep func(int) bool) error {
	after := fs.Cut(keep)
	l, recs, err := openCut(after, wal.SurvivesPowerLoss)
	if err != nil {
		return fmt.Errorf("not opened: %w", err)
	}
	if !l.Recovery.Sound() {
		return fmt.Errorf("a cut alone is told as damage: %+v, lost %v", l.Recovery.Corruptions, l.Recovery.LostIDs)
	}
	if err := p.holds(recs); err != nil {
		return err
	}
	l.Shut()
	l, again, err := openCut(after, wal.SurvivesPowerLoss)
	if err != nil {
		return fmt.Errorf("not opened again: %w", err)
	}
	defer l.Shut()
	if a, b := ids(recs), ids(again); !slices.Equal(a, b) {
		return fmt.Errorf("%v, then %v", a, b)
	}
	return nil
}

func ids(recs []*wal.Record) (all []string) {
	for _, r := range recs {
		all = append(all, fmt.Sprint(r.ID, len(r.Body), r.Attempts, r.UnknownOutcomeAt, r.Notice))
	}
	return all
}

// cuts calls f with each choice of what is kept, where they are few; else with
// every prefix, every one left out, every one kept alone, and some drawn.
func cuts(n int, r *rand.Rand, f func(keep func(int) bool) error) error {
	if n <= 6 {
		for set := range 1 << n {
			if err := f(func(i int) bool { return set>>i&1 == 1 }); err != nil {
				return fmt.Errorf("set %b of %d: %w", set, n, err)
			}
		}
		return nil
	}
	for at := range n + 1 {
		for what, keep := range map[string]func(int) bool{"the first": func(i int) bool { return i < at }, "all but": func(i int) bool { return i != at },
			"only": func(i int) bool { return i == at }} {
			if err := f(keep); err != nil {
				return fmt.Errorf("%s %d of %d: %w", what, at, n, err)
			}
		}
	}
	for range 4 {
		seed := r.Uint64()
		draw := rand.New(rand.NewPCG(seed, 1))
		kept := make([]bool, n)
		for i := range kept {
			kept[i] = draw.IntN(2) == 0
		}
		if err := f(func(i int) bool { return kept[i] }); err != nil {
			return fmt.Errorf("drawn by %d: %w", seed, err)
		}
	}
	return nil
}

// Hard case 1: power lost before every change of the file system, in a short
// history, with a checkpoint in it, and again while the log is opened after that.
func TestPowerLostAtEveryPoint(t *testing.T) {
	for seed := range uint64(4) {
		r := rand.New(rand.NewPCG(seed, 2))
		fs := cutfs.New(cutDir)
		p := newPromised()
		points, tried := 0, 0
		fs.Before = func(what, name string) error {
			points++
			hook := fs.Before
			fs.Before = nil
			defer func() { fs.Before = hook }()
			if err := cuts(fs.Pending(), r, func(keep func(int) bool) error { tried++; return checkCut(fs, p, keep) }); err != nil {
				t.Fatalf("seed %d, point %d, before %s of %s: %v", seed, points, what, name, err)
			}
			if points%5 == 0 { // and once more, in the middle of the recovery
				again := fs.Cut(func(int) bool { return r.IntN(2) == 0 })
				again.Before = func(what, name string) error {
					hook := again.Before
					again.Before = nil
					defer func() { again.Before = hook }()
					if err := checkCut(again, p, func(int) bool { return r.IntN(2) == 0 }); err != nil {
						t.Fatalf("seed %d, point %d, in the recovery before %s of %s: %v", seed, points, what, name, err)
					}
					return nil
				}
				l, _, err := openCut(again, wal.SurvivesPowerLoss)
				if err != nil {
					t.Fatal(err)
				}
				l.Shut()
			}
			return nil
		}
		l, _, err := openCut(fs, wal.SurvivesPowerLoss)
		if err != nil {
			t.Fatal(err)
		}
		recs := history(r, 24)
		drive(l, p, recs[:12])
		if err := l.CheckpointNow(); err != nil {
			t.Fatal(err)
		}
		drive(l, p, recs[12:])
		l.Shut()
		t.Logf("seed %d: %d points, %d cuts", seed, points, tried)
		if points < 50 || tried < 500 {
			t.Errorf("%d points, %d cuts", points, tried)
		}
	}
}

// The same over longer histories, opened again and again, with cuts drawn.
func TestPowerLostOverLongHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		fs := cutfs.New(cutDir)
		p := newPromised()
		for life := range rapid.IntRange(1, 4).Draw(t, "lives") {
			l, recs, err := openCut(fs, wal.SurvivesPowerLoss)
			if err != nil {
				t.Fatal(err)
			}
			if err := p.holds(recs); err != nil {
				t.Fatalf("life %d: %v", life, err)
			}
			if !l.Recovery.Sound() {
				t.Fatalf("life %d: %+v", life, l.Recovery)
			}
			// What was asked and not answered has come out one way or the other.
			q := newPromised()
			for _, x := range recs {
				q.owed[x.ID] = string(x.Body)
				q.doubt[x.ID] = x.UnknownOutcomeAt != 0
			}
			maps.Copy(q.over, p.over)
			for id := range p.owed {
				if _, ok := q.owed[id]; !ok {
					q.over[id] = true
				}
			}
			for id := range q.owed {
				delete(q.over, id)
			}
			p = q
			todo := history(r, rapid.IntRange(1, 300).Draw(t, "records"))
			for i := range todo {
				todo[i].ID = fmt.Sprint(life, "-", todo[i].ID)
			}
			stop := rapid.IntRange(0, 200).Draw(t, "cut after")
			var cut *cutfs.FS
			fs.Before = func(string, string) error {
				if stop--; stop < 0 {
					if cut == nil {
						cut = fs.Cut(func(int) bool { return r.IntN(2) == 0 })
					}
					return syscall.EIO // the machine is gone; what it says does not count
				}
				return nil
			}
			for i := 0; len(todo) > 0; i++ {
				n := min(len(todo), 1+r.IntN(8)) // hard case 6: a batch of which a part was recorded
				p.asking = todo[:n]
				errs := l.AppendAll(todo[:n])
				if cut != nil {
					break
				}
				p.asking = nil
				for k, err := range errs {
					if err == nil {
						p.book(todo[k])
					}
				}
				if todo = todo[n:]; i%10 == 9 {
					l.Tidy()
				}
			}
			fs.Before = nil
			l.Shut()
			if cut == nil {
				cut = fs.Cut(func(int) bool { return r.IntN(2) == 0 })
			}
			fs = cut
		}
	})
}

// The checker itself: a log that answers before it has synced is caught.
func TestAForgottenSyncIsCaught(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 4))
	fs := cutfs.New(cutDir)
	p := newPromised()
	l, _, err := openCut(fs, wal.SurvivesCrash) // the defect: nothing is synced
	if err != nil {
		t.Fatal(err)
	}
	defer l.Shut()
	drive(l, p, history(r, 20))
	if err := cuts(fs.Pending(), r, func(keep func(int) bool) error { return checkCut(fs, p, keep) }); err == nil {
		t.Fatal("not caught")
	}
}

// Hard case 4: a sync that fails is final. Nothing is taken on after it, and
// nothing that was promised before is lost.
func TestAFailedSyncIsFinal(t *testing.T) {
	fs := cutfs.New(cutDir)
	var told error
	l, err := wal.Open(wal.Options{Dir: cutDir, Limit: 1 << 20, Durability: wal.SurvivesPowerLoss, FS: fs, OnFailure: func(err error) { told = err }})
	if err != nil {
		t.Fatal(err)
	}
	p := newPromised()
	recs := history(rand.New(rand.NewPCG(5, 5)), 40)
	drive(l, p, recs[:20])
	fs.Before = func(what, _ string) error {
		if what == "sync" {
			return syscall.EIO
		}
		return nil
	}
	if errs := drive(l, p, []*wal.Record{{Kind: wal.KindAccepted, ID: "x", Class: "once"}}); errs != 1 || !errors.Is(told, wal.ErrSyncFailed) {
		t.Fatalf("%d refused, told %v", errs, told)
	}
	fs.Before = nil // it would work again
	if errs := drive(l, p, recs[20:]); errs != len(recs)-20 {
		t.Errorf("%d of %d refused after a failed sync", errs, len(recs)-20)
	}
	l.Shut()
	if err := checkCut(fs, p, func(int) bool { return false }); err != nil {
		t.Error(err)
	}
}

// Hard case 4: any call fails, once or for good, whole or in part; what was
// promised stands, and with room again the log goes on.
func TestCallsThatFail(t *testing.T) {
	for _, errno := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		for _, short := range []bool{false, true} {
			for seed := range uint64(40) {
				r := rand.New(rand.NewPCG(seed, 6))
				fs := cutfs.New(cutDir)
				fs.Short = short
				p := newPromised()
				l, _, err := openCut(fs, wal.SurvivesCrash)
				if err != nil {
					t.Fatal(err)
				}
				recs := history(r, 200)
				fs.Before = func(what, _ string) error {
					if what != "mark" && r.IntN(4) == 0 {
						return errno
					}
					return nil
				}
				refused := 0
				for i, x := range recs {
					if _, owed := p.owed[x.ID]; owed && x.Kind == wal.KindAccepted {
						continue // its end was refused: it is owed still, and not handed in
					}
					if err := l.AppendNow(x); err == nil {
						p.book(x)
					} else {
						refused++
					}
					if i%20 == 0 {
						l.Tidy()
						if i%40 == 0 {
							l.CheckpointNow() // may fail: that is what is tried
						}
					}
				}
				fs.Before = nil
				p.asking = nil
				if err := l.AppendNow(&wal.Record{Kind: wal.KindAccepted, ID: "last", Class: "once", Body: []byte("z")}); err != nil {
					t.Fatalf("with room again: %v", err)
				}
				p.book(&wal.Record{Kind: wal.KindAccepted, ID: "last", Body: []byte("z")})
				l.Shut()
				back, got, err := openCut(fs, wal.SurvivesCrash)
				if err != nil {
					t.Fatal(err)
				}
				if err := p.holds(got); err != nil || !back.Recovery.Sound() || refused == 0 {
					t.Fatalf("%v, short %v, seed %d: %v; %d refused; found %+v", errno, short, seed, err, refused, back.Recovery)
				}
				back.Shut()
			}
		}
	}
}
