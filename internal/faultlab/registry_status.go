package faultlab

import (
	"encoding/json"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

const (
	statusTimeout = 500 * time.Millisecond // of a node's status
	leaderRole    = "Leader"               // of Raft, as the status has it
)

// nodeStatus asks a node of the list service for its status.
func nodeStatus(addr string) (status registry.Status, err error) {
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Get("http://" + addr + registry.StatusPath)
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status, err
}

// findLeader is the place of the node that says it leads; -1 for none.
func findLeader(addrs []string) int {
	for i, addr := range addrs {
		if status, err := nodeStatus(addr); err == nil && status.RaftRole == leaderRole {
			return i
		}
	}
	return -1
}
