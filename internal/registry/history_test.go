package registry

import (
	"bytes"
	"encoding/json"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"plovershore/internal/discovery"
)

// testWatcher is a client's copy of the list, built only from the lines of its watch.
type testWatcher struct {
	epoch    string
	revision int64
	members  map[string]discovery.Member
}

func (w *testWatcher) readLines(t *rapid.T, s *store) {
	lines, revision, epoch, _ := s.changesSince(w.epoch, w.revision)
	for _, text := range lines {
		var line watchLine
		if err := json.Unmarshal(text, &line); err != nil {
			t.Fatal(err)
		}
		if line.Complete {
			w.members = map[string]discovery.Member{}
		} else if line.Revision <= w.revision || line.Epoch != w.epoch {
			t.Fatalf("sent a change to revision %d of epoch %s at revision %d of epoch %s", line.Revision, line.Epoch, w.revision, w.epoch)
		}
		for _, m := range line.Members {
			if m.Phase == discovery.Removed {
				delete(w.members, m.ID)
			} else {
				w.members[m.ID] = m
			}
		}
		w.revision, w.epoch = line.Revision, line.Epoch
	}
	w.revision, w.epoch = revision, epoch
}

// TestWatchersSeeEachChangeOnceInOrder draws watchers that begin at any position, and
// commands, restores and new epochs between their reads. At the end the copy of each
// watcher has to equal the list.
func TestWatchersSeeEachChangeOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		s.state.Epoch = "e"
		watchers := []*testWatcher{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0: // a watcher begins at an old, the current or a future revision, or in another epoch
				watchers = append(watchers, &testWatcher{epoch: rapid.SampledFrom([]string{"e", "other"}).Draw(t, "epoch"),
					revision: int64(rapid.IntRange(-1, 100).Draw(t, "from")), members: nil})
			case 1:
				if len(watchers) > 0 {
					w := watchers[rapid.IntRange(0, len(watchers)-1).Draw(t, "watcher")]
					if w.members != nil || w.revision > s.state.Revision || w.epoch != s.state.Epoch || w.revision < 0 {
						w.readLines(t, s)
					}
				}
			case 2: // a backup, from which the state is restored in one of ten cases
				var backup bytes.Buffer
				if err := s.state.Write(&backup); err != nil {
					t.Fatal(err)
				}
				if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
					restored, err := ReadState(&backup)
					if err != nil {
						t.Fatal(err)
					}
					s.state = restored
					s.wakeWatchers()
				}
			default:
				text, _ := json.Marshal(drawCommand(t, n))
				var c Command
				json.Unmarshal(text, &c)
				s.state.Apply(c)
				s.wakeWatchers()
			}
		}
		for _, w := range append(watchers, &testWatcher{epoch: "none", revision: -1}) {
			if w.members == nil && w.epoch == s.state.Epoch { // it began in this epoch without the list, and was sent no complete one
				continue
			}
			w.readLines(t, s)
			want := map[string]discovery.Member{}
			for id, m := range s.state.Members {
				want[id] = m.Member
			}
			if !maps.Equal(w.members, want) || w.revision != s.state.Revision {
				t.Fatalf("the watcher has %v at revision %d, want %v at revision %d", w.members, w.revision, want, s.state.Revision)
			}
		}
	})
}
