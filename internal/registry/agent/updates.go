package agent

import (
	"maps"
	"slices"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/registry/client"
)

const (
	// maxHistory is how many changes the relay's watch may lag behind and still be sent
	// the missing changes instead of the complete list. It is more than the number of
	// members in a zone of the largest fleet.
	maxHistory = 8192

	// maxBatchChanges is the number of changed members from which no further update is
	// added to a batch that is saved with one sync.
	maxBatchChanges = 1024
)

func (a *Agent) setFollowing(following bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.following = following
	a.lastContact = time.Now()
}

// runUpdates saves and serves the group's updates until the agent is closed. Updates that
// arrive during a save are saved together by the next one.
func (a *Agent) runUpdates() {
	var updates []client.Update
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.updates.Ready():
		}
		updates = a.updates.TakeAll(updates)
		for from := 0; from < len(updates); {
			from += a.applyBatch(updates[from:])
		}
	}
}

// applyBatch applies the first updates, up to maxBatchChanges changes, and returns how many
// it applied. It saves them before watchers are sent them. If saving fails, they are served
// nevertheless.
func (a *Agent) applyBatch(updates []client.Update) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastContact = time.Now()
	var entries []journalEntry
	for changes := 0; n < len(updates) && changes < maxBatchChanges; n++ {
		entry := a.newEntry(&updates[n])
		a.list.apply(&entry)
		entries = append(entries, entry)
		changes += len(entry.Members)
	}
	if a.saveErr = a.saveChanges(entries); a.saveErr != nil {
		a.options.Log.Error("list not saved", "err", a.saveErr)
	}
	a.notifyWatchers(entries)
	return n
}

// newEntry returns an update as a journal entry. The entry has the agent's next revision if
// it changes any member, and the current one otherwise. The caller holds a.mu.
func (a *Agent) newEntry(update *client.Update) journalEntry {
	entry := journalEntry{
		At:       client.Position{Epoch: update.Epoch, Revision: update.Revision},
		Revision: a.list.Revision,
		Members:  a.list.diff(update),
		Saved:    a.lastContact,
	}
	if len(entry.Members) > 0 {
		entry.Revision++
	}
	return entry
}

// notifyWatchers adds changes to the history and wakes watchers. The first update since the
// start wakes them even if it changes no member, since requests may wait for the first
// list. The caller holds a.mu.
func (a *Agent) notifyWatchers(entries []journalEntry) {
	hasChanges := false
	for _, e := range entries {
		if len(e.Members) > 0 {
			a.history = append(a.history, discovery.List{Revision: e.Revision, Members: e.Members})
			hasChanges = true
		}
	}
	if !hasChanges && a.watchersNotified {
		return
	}
	a.watchersNotified = true
	if len(a.history) > maxHistory {
		a.history = slices.Clone(a.history[len(a.history)-maxHistory:])
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// hasList reports whether the agent has ever had a list, and returns a channel that is
// closed at the next change. Before its first list the agent sends no response, so that
// the relay treats it as discovery that is down.
func (a *Agent) hasList() (bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list.At.Epoch != "", a.changed
}

func (a *Agent) completeList() discovery.List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list.complete()
}

// changesSince returns the changes after one of the agent's revisions, or the complete list
// if the history doesn't reach back to that revision. It also returns a channel that is
// closed at the next change.
func (a *Agent) changesSince(revision int64) ([]discovery.List, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.list.Revision + 1
	if len(a.history) > 0 {
		first = a.history[0].Revision
	}
	if revision > a.list.Revision || revision < first-1 {
		return []discovery.List{a.list.complete()}, a.changed
	}
	var changes []discovery.List
	for _, change := range a.history {
		if change.Revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, a.changed
}

// savedList is the agent's list. It is stored as JSON, whose keys are kept from earlier
// versions.
type savedList struct {
	At       client.Position             `json:"at"`       // position in the group's changes
	Revision int64                       `json:"revision"` // the agent's own revision, which never decreases
	Members  map[string]discovery.Member `json:"members"`  // keyed by member id
	Saved    time.Time                   `json:"saved"`    // when the list was written, or its last change was applied
}

// apply applies one change.
func (l *savedList) apply(e *journalEntry) {
	l.At, l.Revision, l.Saved = e.At, e.Revision, e.Saved
	for _, m := range e.Members {
		if m.Phase == discovery.Removed {
			delete(l.Members, m.ID)
		} else {
			l.Members[m.ID] = m
		}
	}
}

// diff returns the members that an update changes. A complete list is compared with this
// one and turned into changes, so that open watches aren't sent the complete list.
func (l *savedList) diff(update *client.Update) []discovery.Member {
	if !update.Complete {
		return update.Members
	}
	var changes []discovery.Member
	listed := map[string]bool{}
	for _, m := range update.Members {
		listed[m.ID] = true
		if l.Members[m.ID] != m {
			changes = append(changes, m)
		}
	}
	for _, id := range l.sortedIDs() {
		if !listed[id] {
			removed := l.Members[id]
			removed.Phase = discovery.Removed
			changes = append(changes, removed)
		}
	}
	return changes
}

func (l *savedList) complete() discovery.List {
	list := discovery.List{Revision: l.Revision, Complete: true, Members: []discovery.Member{}}
	for _, id := range l.sortedIDs() {
		list.Members = append(list.Members, l.Members[id])
	}
	return list
}

func (l *savedList) sortedIDs() []string { return slices.Sorted(maps.Keys(l.Members)) }
