package registry

import (
	"slices"

	"plovershore/internal/discovery"
)

// maxHistory is how many changes a watch may lag behind and still be sent the missing
// changes instead of the complete list.
const maxHistory = 4096

// Change is one entry of the history: the members that a revision changed.
type Change struct {
	Revision int64              `json:"revision"`
	Members  []discovery.Member `json:"members"`
}

func (s *State) appendChange(c Change) {
	s.Revision = c.Revision
	s.History = append(s.History, c)
	// Trim only when the history is a quarter too long, since each trim copies it.
	if len(s.History) > maxHistory+maxHistory/4 {
		s.History = slices.Clone(s.History[len(s.History)-maxHistory:])
	}
}

// List returns the complete list, in order of ids.
func (s *State) List() discovery.List {
	list := discovery.List{Revision: s.Revision, Complete: true, Members: make([]discovery.Member, 0, len(s.Members))}
	for _, id := range s.memberIDs() {
		list.Members = append(list.Members, s.Members[id].Member)
	}
	return list
}

// Since returns the index in the history of the first change after a revision. It
// returns false if the history doesn't reach back to the revision, or the revision is
// greater than the current one. The watch has to be sent the complete list then.
func (s *State) Since(revision int64) (index int, ok bool) {
	first := s.Revision + 1
	if len(s.History) > 0 {
		first = s.History[0].Revision
	}
	if revision > s.Revision || revision < first-1 {
		return 0, false
	}
	index, _ = slices.BinarySearchFunc(s.History, revision+1, func(c Change, r int64) int { return int(c.Revision - r) })
	return index, true
}
