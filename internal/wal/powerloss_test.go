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

// guarantees is what a log has reported as recorded. unanswered holds the records whose
// result the log has not reported yet; they may or may not be recorded.
type guarantees struct {
	pending    map[string]string // body by message id
	mayHaveRun map[string]bool   // an attempt is in flight or may have run
	completed  map[string]bool
	unanswered []*wal.Record
}

func newGuarantees() *guarantees {
	return &guarantees{pending: map[string]string{}, mayHaveRun: map[string]bool{}, completed: map[string]bool{}}
}

func (g *guarantees) add(r *wal.Record) {
	switch r.Kind {
	case wal.KindAccepted:
		g.pending[r.ID] = string(r.Body)
		delete(g.completed, r.ID)
	case wal.KindAttempt:
		g.mayHaveRun[r.ID] = true
	case wal.KindOutcome:
		if !r.MayHaveRun {
			delete(g.mayHaveRun, r.ID)
		}
	case wal.KindCompleted:
		delete(g.pending, r.ID)
		delete(g.mayHaveRun, r.ID)
		g.completed[r.ID] = true
	}
}

// check returns an error if the recovered records violate a guarantee.
func (g *guarantees) check(recs []*wal.Record) error {
	recovered := map[string]*wal.Record{}
	for _, r := range recs {
		if recovered[r.ID] != nil {
			return fmt.Errorf("%s was recovered twice", r.ID)
		}
		recovered[r.ID] = r
	}
	isUnanswered := func(id string, kinds ...wal.Kind) bool {
		return slices.ContainsFunc(g.unanswered, func(r *wal.Record) bool { return r.ID == id && slices.Contains(kinds, r.Kind) })
	}
	for id, body := range g.pending {
		switch r := recovered[id]; {
		case r == nil && !isUnanswered(id, wal.KindCompleted):
			return fmt.Errorf("%s was accepted but is missing", id)
		case r != nil && (string(r.Body) != body && !isUnanswered(id, wal.KindAccepted) || r.Corrupted):
			return fmt.Errorf("%s was recovered with a body of %d bytes, corrupted: %v", id, len(r.Body), r.Corrupted)
		case r != nil && g.mayHaveRun[id] && r.UnknownOutcomeAt == 0 && r.InFlightSince == 0 && !isUnanswered(id, wal.KindOutcome, wal.KindAccepted):
			return fmt.Errorf("%s was sent but is recovered as unsent", id)
		}
	}
	for id := range recovered {
		if g.completed[id] && !isUnanswered(id, wal.KindAccepted) {
			return fmt.Errorf("%s was completed but is pending again", id)
		}
	}
	return nil
}

const cutDir = "/state"

func openCutLog(fs *cutfs.FS, durability wal.Durability) (*wal.Log, []*wal.Record, error) {
	l, err := wal.Open(wal.Options{Dir: cutDir, Limit: 1 << 20, Durability: durability, FS: fs})
	if err != nil {
		return nil, nil, err
	}
	return l, l.Next(1 << 20), nil
}

// appendOneByOne appends records one by one and returns the number of errors.
func appendOneByOne(l *wal.Log, g *guarantees, recs []*wal.Record) (errs int) {
	for _, r := range recs {
		g.unanswered = []*wal.Record{r}
		err := l.AppendNow(r)
		g.unanswered = nil
		if err == nil {
			g.add(r)
		} else {
			errs++
		}
	}
	return errs
}

func drawHistory(r *rand.Rand, n int) (recs []*wal.Record) {
	pendingIDs := []string{}
	inFlight := map[string]bool{}
	for i := range n {
		if len(pendingIDs) == 0 || r.IntN(3) == 0 {
			id := fmt.Sprintf("m-%d", i)
			pendingIDs = append(pendingIDs, id)
			recs = append(recs, &wal.Record{Kind: wal.KindAccepted, ID: id, Class: "once", Dest: 1, Deadline: 1e15, Body: []byte(strings.Repeat(string(rune('a'+i%26)), r.IntN(1200)))})
			continue
		}
		position := r.IntN(len(pendingIDs))
		id := pendingIDs[position]
		switch {
		case inFlight[id] && r.IntN(2) == 0:
			recs = append(recs, &wal.Record{Kind: wal.KindOutcome, ID: id, MayHaveRun: r.IntN(2) == 0})
			inFlight[id] = false
		case inFlight[id] || r.IntN(4) == 0:
			recs = append(recs, &wal.Record{Kind: wal.KindCompleted, ID: id})
			pendingIDs = slices.Delete(pendingIDs, position, position+1)
			inFlight[id] = false
			if r.IntN(4) == 0 { // the same id is accepted again
				pendingIDs = append(pendingIDs, id)
				recs = append(recs, &wal.Record{Kind: wal.KindAccepted, ID: id, Class: "once", Dest: 1, Deadline: 1e15, Body: []byte("again")})
			}
		default:
			recs = append(recs, &wal.Record{Kind: wal.KindAttempt, ID: id, At: int64(i + 1), Process: 1, Endpoint: "s-1", Sync: true})
			inFlight[id] = true
		}
	}
	return recs
}

// checkAfterCut opens the folder twice after a power cut and checks the guarantees.
// survives says which pending changes survive the cut.
func checkAfterCut(fs *cutfs.FS, g *guarantees, survives func(int) bool) error {
	afterCut := fs.Cut(survives)
	l, recs, err := openCutLog(afterCut, wal.SurvivesPowerLoss)
	if err != nil {
		return fmt.Errorf("open after the cut: %w", err)
	}
	if !l.Recovery.Sound() {
		return fmt.Errorf("a power cut without corruption is reported as corruption: %+v, lost ids %v", l.Recovery.Corruptions, l.Recovery.LostIDs)
	}
	if err := g.check(recs); err != nil {
		return err
	}
	l.Close()
	l, again, err := openCutLog(afterCut, wal.SurvivesPowerLoss)
	if err != nil {
		return fmt.Errorf("second open after the cut: %w", err)
	}
	defer l.Close()
	if a, b := summarizeRecords(recs), summarizeRecords(again); !slices.Equal(a, b) {
		return fmt.Errorf("recovered %v at the first start, %v at the second", a, b)
	}
	return nil
}

func summarizeRecords(recs []*wal.Record) (all []string) {
	for _, r := range recs {
		all = append(all, fmt.Sprint(r.ID, len(r.Body), r.Attempts, r.UnknownOutcomeAt, r.Notice))
	}
	return all
}

// forEachPowerCut calls f with choices of which of n changes survive a power cut: with all
// choices if n is at most 6, otherwise with every prefix, all but each one, each one
// alone, and some at random.
func forEachPowerCut(n int, r *rand.Rand, f func(survives func(int) bool) error) error {
	if n <= 6 {
		for set := range 1 << n {
			if err := f(func(i int) bool { return set>>i&1 == 1 }); err != nil {
				return fmt.Errorf("set %b of %d changes survives: %w", set, n, err)
			}
		}
		return nil
	}
	for position := range n + 1 {
		for choice, survives := range map[string]func(int) bool{"the first": func(i int) bool { return i < position }, "all but number": func(i int) bool { return i != position },
			"only number": func(i int) bool { return i == position }} {
			if err := f(survives); err != nil {
				return fmt.Errorf("%s %d of %d changes survive: %w", choice, position, n, err)
			}
		}
	}
	for range 4 {
		seed := r.Uint64()
		random := rand.New(rand.NewPCG(seed, 1))
		survivors := make([]bool, n)
		for i := range survivors {
			survivors[i] = random.IntN(2) == 0
		}
		if err := f(func(i int) bool { return survivors[i] }); err != nil {
			return fmt.Errorf("changes drawn with seed %d survive: %w", seed, err)
		}
	}
	return nil
}

// Power is lost before every change of the file system in a short history that includes a
// checkpoint, and again during the recovery from such a loss.
func TestPowerLossBeforeEveryChangeKeepsGuarantees(t *testing.T) {
	for seed := range uint64(4) {
		r := rand.New(rand.NewPCG(seed, 2))
		fs := cutfs.New(cutDir)
		g := newGuarantees()
		points, cuts := 0, 0
		fs.Before = func(operation, name string) error {
			points++
			hook := fs.Before
			fs.Before = nil
			defer func() { fs.Before = hook }()
			if err := forEachPowerCut(fs.Pending(), r, func(survives func(int) bool) error { cuts++; return checkAfterCut(fs, g, survives) }); err != nil {
				t.Fatalf("seed %d, point %d, before %s of %s: %v", seed, points, operation, name, err)
			}
			if points%5 == 0 { // cuts the power a second time, during the recovery
				afterCut := fs.Cut(func(int) bool { return r.IntN(2) == 0 })
				afterCut.Before = func(operation, name string) error {
					hook := afterCut.Before
					afterCut.Before = nil
					defer func() { afterCut.Before = hook }()
					if err := checkAfterCut(afterCut, g, func(int) bool { return r.IntN(2) == 0 }); err != nil {
						t.Fatalf("seed %d, point %d, in the recovery before %s of %s: %v", seed, points, operation, name, err)
					}
					return nil
				}
				l, _, err := openCutLog(afterCut, wal.SurvivesPowerLoss)
				if err != nil {
					t.Fatal(err)
				}
				l.Close()
			}
			return nil
		}
		l, _, err := openCutLog(fs, wal.SurvivesPowerLoss)
		if err != nil {
			t.Fatal(err)
		}
		recs := drawHistory(r, 24)
		appendOneByOne(l, g, recs[:12])
		if err := l.CheckpointNow(); err != nil {
			t.Fatal(err)
		}
		appendOneByOne(l, g, recs[12:])
		l.Close()
		t.Logf("seed %d: %d points, %d cuts", seed, points, cuts)
		if points < 50 || cuts < 500 {
			t.Errorf("only %d points and %d cuts were tested, want at least 50 and 500", points, cuts)
		}
	}
}

// As the test above, but with longer histories, several restarts and random cuts.
func TestPowerLossInLongHistoriesKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		fs := cutfs.New(cutDir)
		g := newGuarantees()
		for incarnation := range rapid.IntRange(1, 4).Draw(t, "incarnations") {
			l, recs, err := openCutLog(fs, wal.SurvivesPowerLoss)
			if err != nil {
				t.Fatal(err)
			}
			if err := g.check(recs); err != nil {
				t.Fatalf("start %d: %v", incarnation, err)
			}
			if !l.Recovery.Sound() {
				t.Fatalf("start %d: the recovery found %+v", incarnation, l.Recovery)
			}
			// What the log recovered replaces the guarantees, since each unanswered record
			// may or may not be recorded.
			recovered := newGuarantees()
			for _, x := range recs {
				recovered.pending[x.ID] = string(x.Body)
				recovered.mayHaveRun[x.ID] = x.UnknownOutcomeAt != 0
			}
			maps.Copy(recovered.completed, g.completed)
			for id := range g.pending {
				if _, ok := recovered.pending[id]; !ok {
					recovered.completed[id] = true
				}
			}
			for id := range recovered.pending {
				delete(recovered.completed, id)
			}
			g = recovered
			remaining := drawHistory(r, rapid.IntRange(1, 300).Draw(t, "records"))
			for i := range remaining {
				remaining[i].ID = fmt.Sprint(incarnation, "-", remaining[i].ID)
			}
			changesLeft := rapid.IntRange(0, 200).Draw(t, "cut after")
			var afterCut *cutfs.FS
			fs.Before = func(string, string) error {
				if changesLeft--; changesLeft < 0 {
					if afterCut == nil {
						afterCut = fs.Cut(func(int) bool { return r.IntN(2) == 0 })
					}
					return syscall.EIO // the power is off, so the results of these calls do not count
				}
				return nil
			}
			for i := 0; len(remaining) > 0; i++ {
				n := min(len(remaining), 1+r.IntN(8)) // only part of a batch may be recorded
				g.unanswered = remaining[:n]
				errs := l.AppendAll(remaining[:n])
				if afterCut != nil {
					break
				}
				g.unanswered = nil
				for k, err := range errs {
					if err == nil {
						g.add(remaining[k])
					}
				}
				if remaining = remaining[n:]; i%10 == 9 {
					l.Compact()
				}
			}
			fs.Before = nil
			l.Close()
			if afterCut == nil {
				afterCut = fs.Cut(func(int) bool { return r.IntN(2) == 0 })
			}
			fs = afterCut
		}
	})
}

// The checks in this file detect a log that reports records as done before it has synced them.
func TestPowerLossCheckDetectsMissingSync(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 4))
	fs := cutfs.New(cutDir)
	g := newGuarantees()
	l, _, err := openCutLog(fs, wal.SurvivesCrash) // the simulated defect: nothing is synced
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	appendOneByOne(l, g, drawHistory(r, 20))
	if err := forEachPowerCut(fs.Pending(), r, func(survives func(int) bool) error { return checkAfterCut(fs, g, survives) }); err == nil {
		t.Fatal("no cut violated a guarantee although nothing was synced")
	}
}

// After a sync has failed, the log accepts no record any more, and what was recorded
// before is not lost.
func TestLogRefusesRecordsAfterFailedSync(t *testing.T) {
	fs := cutfs.New(cutDir)
	var reported error
	l, err := wal.Open(wal.Options{Dir: cutDir, Limit: 1 << 20, Durability: wal.SurvivesPowerLoss, FS: fs, OnFailure: func(err error) { reported = err }})
	if err != nil {
		t.Fatal(err)
	}
	g := newGuarantees()
	recs := drawHistory(rand.New(rand.NewPCG(5, 5)), 40)
	appendOneByOne(l, g, recs[:20])
	fs.Before = func(operation, _ string) error {
		if operation == "sync" {
			return syscall.EIO
		}
		return nil
	}
	if errs := appendOneByOne(l, g, []*wal.Record{{Kind: wal.KindAccepted, ID: "x", Class: "once"}}); errs != 1 || !errors.Is(reported, wal.ErrSyncFailed) {
		t.Fatalf("%d records were refused, OnFailure got %v", errs, reported)
	}
	fs.Before = nil // a sync would succeed again from here on
	if errs := appendOneByOne(l, g, recs[20:]); errs != len(recs)-20 {
		t.Errorf("%d of %d records were refused after a failed sync", errs, len(recs)-20)
	}
	l.Close()
	if err := checkAfterCut(fs, g, func(int) bool { return false }); err != nil {
		t.Error(err)
	}
}

// Any call that changes the file system may fail, and a failing write may store half of its
// data. What was recorded stays recorded, and the log works again once calls succeed.
// Stores of the stamp do not fail here.
func TestFailingFileSystemCallsLoseNoRecord(t *testing.T) {
	for _, errno := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		for _, short := range []bool{false, true} {
			for seed := range uint64(40) {
				r := rand.New(rand.NewPCG(seed, 6))
				fs := cutfs.New(cutDir)
				fs.ShortWrites = short
				g := newGuarantees()
				l, _, err := openCutLog(fs, wal.SurvivesCrash)
				if err != nil {
					t.Fatal(err)
				}
				recs := drawHistory(r, 200)
				fs.Before = func(operation, _ string) error {
					if operation != "mark" && r.IntN(4) == 0 {
						return errno
					}
					return nil
				}
				refused := 0
				for i, record := range recs {
					if _, isPending := g.pending[record.ID]; isPending && record.Kind == wal.KindAccepted {
						continue // its completion was refused, so it is still pending and not accepted again
					}
					if err := l.AppendNow(record); err == nil {
						g.add(record)
					} else {
						refused++
					}
					if i%20 == 0 {
						l.Compact()
						if i%40 == 0 {
							l.CheckpointNow() // it may fail
						}
					}
				}
				fs.Before = nil
				g.unanswered = nil
				if err := l.AppendNow(&wal.Record{Kind: wal.KindAccepted, ID: "last", Class: "once", Body: []byte("z")}); err != nil {
					t.Fatalf("append after calls succeed again: %v", err)
				}
				g.add(&wal.Record{Kind: wal.KindAccepted, ID: "last", Body: []byte("z")})
				l.Close()
				reopened, recovered, err := openCutLog(fs, wal.SurvivesCrash)
				if err != nil {
					t.Fatal(err)
				}
				if err := g.check(recovered); err != nil || !reopened.Recovery.Sound() || refused == 0 {
					t.Fatalf("%v, short writes %v, seed %d: %v; %d records refused; the recovery found %+v", errno, short, seed, err, refused, reopened.Recovery)
				}
				reopened.Close()
			}
		}
	}
}
