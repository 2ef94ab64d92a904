package wal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// Read returns a message with its current state in any order of references, before, during
// and after a checkpoint that moves the record. The reference of a completed message does
// not refer to a later one.
func TestReadFollowsReferencesAcrossCheckpoint(t *testing.T) {
	l, _ := openTestLog(t, t.TempDir(), 64<<20)
	const n = 3000
	recs := make([]*Record, n)
	for i := range n {
		recs[i] = newAcceptedRecord(fmt.Sprint("m", i), strings.Repeat("b", i%300)+fmt.Sprint(i))
		mustAppend(t, l, recs[i])
		if recs[i].Ref == 0 {
			t.Fatalf("%s has no reference after its write", recs[i].ID)
		}
	}
	duplicate := newAcceptedRecord("m7", "again") // m7 is already pending, so the first record keeps the reference
	mustAppend(t, l, duplicate)
	if duplicate.Ref != 0 {
		t.Error("a second record of a pending message got a reference")
	}
	mustAppend(t, l, &Record{Kind: KindAttempt, ID: "m5", At: 100, Zone: 1, Endpoint: "s-1", Process: l.Process}, &Record{Kind: KindOutcome, ID: "m5", MayHaveRun: true})
	checkAll := func(when string) {
		t.Helper()
		order := rand.New(rand.NewPCG(1, 2)).Perm(n)
		refs := make([]Ref, n)
		for k, i := range order {
			refs[k] = recs[i].Ref
		}
		for k, r := range l.Read(refs) {
			if i := order[k]; r == nil || r.ID != recs[i].ID || string(r.Body) != string(recs[i].Body) || r.Ref != recs[i].Ref {
				t.Fatalf("%s: the reference of m%d returns %+v", when, i, r)
			}
		}
		if r := l.Read([]Ref{recs[5].Ref})[0]; r.Attempts != 1 || r.UnknownOutcomeAt != 100 || r.UnknownOutcomeZone != 1 {
			t.Fatalf("%s: m5 has the state %+v", when, r)
		}
	}
	checkAll("record in a segment")
	if err := l.store.startCheckpoint(); err != nil {
		t.Fatal(err)
	}
	for l.store.pendingCheckpoint != nil {
		if _, err := l.store.stepCheckpoint(64 << 10); err != nil {
			t.Fatal(err)
		}
		checkAll("while a checkpoint is written")
	}
	checkAll("record in the checkpoint")
	mustAppend(t, l, &Record{Kind: KindCompleted, ID: "m9"})
	if r := l.Read([]Ref{recs[9].Ref, 0, 1 << 30}); !slices.Equal(r, []*Record{nil, nil, nil}) {
		t.Errorf("references to no message return %+v", r)
	}
	mustAppend(t, l, newAcceptedRecord("new", "")) // reuses the position of m9 in the index
	if r := l.Read([]Ref{recs[9].Ref}); r[0] != nil {
		t.Errorf("the reference of a completed message returns %+v", r[0])
	}
}

// A client that submits a message again is answered from the log only if IsPending is
// true. It is false once the final notice is recorded.
func TestIsPendingIsFalseOnceCompletionBegins(t *testing.T) {
	dir := t.TempDir()
	l, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, l, newAcceptedRecord("pending", ""), newAcceptedRecord("completed", ""), newAcceptedRecord("completing", ""), &Record{Kind: KindCompleted, ID: "completed"},
		&Record{Kind: KindCompleting, ID: "completing", Notice: "handed-back"})
	for id, want := range map[string]bool{"pending": true, "completed": false, "completing": false, "unknown": false} {
		if l.IsPending(id) != want {
			t.Errorf("%s: IsPending is %v", id, !want)
		}
	}
	if r := l.Fetch("pending"); r != nil {
		t.Errorf("Fetch returned a message that was not pending at the start: %+v", r)
	}
	l.store.close()
	l, err := Open(Options{Dir: dir, Limit: 1 << 20, Log: newDiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	defer l.store.close()
	if r := l.Fetch("pending"); r == nil || r.Ref == 0 || l.Read([]Ref{r.Ref})[0].ID != "pending" {
		t.Errorf("Fetch returned %+v", r)
	}
}
