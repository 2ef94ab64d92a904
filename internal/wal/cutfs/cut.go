package cutfs

import (
	"bytes"
	"cmp"
	"maps"
	"path/filepath"
	"slices"
)

// Pending returns the number of changes that a power cut may lose.
func (f *FS) Pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pendingChanges())
}

// pendingChanges returns the changes that a power cut may lose, in the order in
// which they were made.
func (f *FS) pendingChanges() (changes []*change) {
	seen := map[*inode]bool{}
	addData := func(node *inode) {
		if !seen[node] {
			seen[node] = true
			changes = append(changes, node.unsynced...)
		}
	}
	for _, names := range []map[string]*inode{f.names, f.durableNames} {
		for _, node := range names {
			addData(node)
		}
	}
	for _, c := range f.unsyncedNames {
		addData(c.name.inode)
	}
	changes = append(changes, f.unsyncedNames...)
	slices.SortFunc(changes, func(a, b *change) int { return cmp.Compare(a.seq, b.seq) })
	return changes
}

// Cut returns the file system as it is after a power cut. survives says for each pending
// change, by its position in the order, whether the power cut kept it. f itself is unchanged.
func (f *FS) Cut(survives func(i int) bool) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	names, contents := f.afterCut(survives)
	after := &FS{names: map[string]*inode{}, durableNames: map[string]*inode{}}
	copies := map[*inode]*inode{}
	for name, node := range names {
		if !f.hasDurableFolder(name, names) {
			continue
		}
		if copies[node] == nil {
			data := contents.contentsOf(node)
			copies[node] = &inode{dir: node.dir, data: data, durable: bytes.Clone(data)}
		}
		after.names[name], after.durableNames[name] = copies[node], copies[node]
	}
	return after
}

// dataByInode holds the contents of files after a power cut.
type dataByInode map[*inode][]byte

func (d dataByInode) contentsOf(node *inode) []byte {
	if _, ok := d[node]; !ok {
		d[node] = bytes.Clone(node.durable)
	}
	return d[node]
}

// afterCut returns the names and contents that are left after a power cut.
func (f *FS) afterCut(survives func(i int) bool) (map[string]*inode, dataByInode) {
	names, contents := maps.Clone(f.durableNames), dataByInode{}
	for i, c := range f.pendingChanges() {
		switch {
		case !survives(i):
		case c.name != nil:
			c.name.apply(names)
		case c.data == nil:
			contents[c.inode] = resize(contents.contentsOf(c.inode), c.off)
		default:
			contents[c.inode] = overwrite(contents.contentsOf(c.inode), c.data, c.off)
		}
	}
	return names, contents
}

// hasDurableFolder reports whether all parent folders of a name are among the names left
// after a power cut.
func (f *FS) hasDurableFolder(name string, names map[string]*inode) bool {
	for dir := filepath.Dir(name); f.durableNames[dir] == nil && dir != filepath.Dir(dir); dir = filepath.Dir(dir) {
		if names[dir] == nil && f.names[dir] != nil {
			return false
		}
	}
	return true
}
