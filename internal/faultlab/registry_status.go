package faultlab

import (
	"encoding/json"
	"net/http"
	"time"

	"plovershore/internal/registry"
)

const (
	statusTimeout = 500 * time.Millisecond // of a request for a node's status
	leaderRole    = "Leader"               // RaftRole of the leader's status
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

// findLeader returns the index of the node that reports itself as the leader, or -1.
func findLeader(addrs []string) int {
	for i, addr := range addrs {
		if status, err := nodeStatus(addr); err == nil && status.RaftRole == leaderRole {
			return i
		}
	}
	return -1
}
