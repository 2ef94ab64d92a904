package wal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// A reference gives its message with its present state, in any order, before a checkpoint
// moves the record, while it does and after, and names no other message once its own is
// completed.
func TestReadByReference(t *testing.T) {
	l, _ := openTest(t, t.TempDir(), 64<<20)
	const n = 3000
	recs := make([]*Record, n)
	for i := range n {
		recs[i] = accepted(fmt.Sprint("m", i), strings.Repeat("b", i%300)+fmt.Sprint(i))
		mustAppend(t, l, recs[i])
		if recs[i].Ref == 0 {
			t.Fatalf("%s has no reference", recs[i].ID)
		}
	}
	again := accepted("m7", "again") // pending already: a reference gives the first
	mustAppend(t, l, again)
	if again.Ref != 0 {
		t.Error("a second record of one message has a reference")
	}
	mustAppend(t, l, &Record{Kind: KindAttempt, ID: "m5", At: 100, Zone: 1, Endpoint: "s-1", Process: l.Process}, &Record{Kind: KindOutcome, ID: "m5", MayHaveRun: true})
	check := func(when string) {
		t.Helper()
		order := rand.New(rand.NewPCG(1, 2)).Perm(n)
		refs := make([]Ref, n)
		for k, i := range order {
			refs[k] = recs[i].Ref
		}
		for k, r := range l.Read(refs) {
			if i := order[k]; r == nil || r.ID != recs[i].ID || string(r.Body) != string(recs[i].Body) || r.Ref != recs[i].Ref {
				t.Fatalf("%s: reference of m%d gives %+v", when, i, r)
			}
		}
		if r := l.Read([]Ref{recs[5].Ref})[0]; r.Attempts != 1 || r.UnknownOutcomeAt != 100 || r.UnknownOutcomeZone != 1 {
			t.Fatalf("%s: state %+v", when, r)
		}
	}
	check("in segments")
	if err := l.store.startCheckpoint(); err != nil {
		t.Fatal(err)
	}
	for l.store.pendingCheckpoint != nil {
		if _, err := l.store.stepCheckpoint(64 << 10); err != nil {
			t.Fatal(err)
		}
		check("beside a checkpoint")
	}
	check("in the checkpoint")
	mustAppend(t, l, &Record{Kind: KindCompleted, ID: "m9"})
	if r := l.Read([]Ref{recs[9].Ref, 0, 1 << 30}); !slices.Equal(r, []*Record{nil, nil, nil}) {
		t.Errorf("references to nothing give %+v", r)
	}
	mustAppend(t, l, accepted("new", "")) // in the place of m9
	if r := l.Read([]Ref{recs[9].Ref}); r[0] != nil {
		t.Errorf("a reference of a message that is over gives %+v", r[0])
	}
}

// IsPending tells whether a client that submits a message again is answered from the log.
func TestIsPending(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTest(t, dir, 1<<20)
	mustAppend(t, l, accepted("held", ""), accepted("over", ""), accepted("ending", ""), &Record{Kind: KindCompleted, ID: "over"},
		&Record{Kind: KindCompleting, ID: "ending", Notice: "handed-back"})
	for id, want := range map[string]bool{"held": true, "over": false, "ending": false, "never": false} {
		if l.IsPending(id) != want {
			t.Errorf("%s: owed %v", id, !want)
		}
	}
	if r := l.Fetch("held"); r != nil {
		t.Errorf("fetched as owed at the start: %+v", r)
	}
	l.store.close()
	l, err := Open(Options{Dir: dir, Limit: 1 << 20, Log: discardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	defer l.store.close()
	if r := l.Fetch("held"); r == nil || r.Ref == 0 || l.Read([]Ref{r.Ref})[0].ID != "held" {
		t.Errorf("fetched %+v", r)
	}
}
