package registry

import "net/http"

// ZoneStatus is a zone, its region (empty for none) and the number of its members.
type ZoneStatus struct {
	Zone
	Members  int `json:"members"`
	Draining int `json:"draining"`
}

// getZones serves the zones as this node has them.
func (n *Node) getZones(w http.ResponseWriter, _ *http.Request) {
	epoch, revision, _ := n.store.position()
	n.setListHeaders(w, epoch, revision)
	writeJSON(w, http.StatusOK, n.store.zones())
}

// postZone sets the region of a zone; an empty one clears it.
func (n *Node) postZone(w http.ResponseWriter, r *http.Request) {
	var zone Zone
	if !decodeBody(w, r, &zone) {
		return
	}
	if zone.Name == "" || len(zone.Name) > maxIDBytes || len(zone.Region) > maxIDBytes {
		writeError(w, http.StatusBadRequest, "name: 1 to %d bytes are wanted, and no more for a region", maxIDBytes)
		return
	}
	n.applyAndRespond(w, r, Command{Op: OpZone, Zone: zone.Name, Region: zone.Region})
}
