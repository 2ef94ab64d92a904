package registry

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
)

// validate checks all values. A configuration without peers is given the node itself as
// its only peer. Errors name the key.
func (c *Config) validate() error {
	if len(c.Peers) == 0 {
		c.Peers = []Peer{{c.ID, c.Raft, c.Listen}}
	}
	for _, check := range []func() error{
		c.validateNode, c.validateAddresses, c.validateExpiry, c.validatePeers, c.validateZones, c.validateMembers,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateNode() error {
	switch {
	case c.ID == "":
		return errors.New("id: missing")
	case c.DataDir == "":
		return errors.New("data: missing")
	case c.LogFormat != "text" && c.LogFormat != "json":
		return fmt.Errorf("log: %q; text and json are allowed", c.LogFormat)
	}
	return nil
}

func (c *Config) validateAddresses() error {
	for _, setting := range []struct {
		key, addr string
		optional  bool
	}{
		{key: "listen", addr: c.Listen},
		{key: "raft", addr: c.Raft},
		{key: "operator", addr: c.Operator, optional: true},
	} {
		if setting.optional && setting.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(setting.addr); err != nil {
			return fmt.Errorf("%s: %w", setting.key, err)
		}
	}
	return nil
}

func (c *Config) validateExpiry() error {
	guard := c.ExpiryGuard
	switch {
	case !(guard.Fraction > 0 && guard.Fraction <= 1): // written so that NaN is rejected, too
		return fmt.Errorf("lapse.share: %v; more than 0, 1 at most", guard.Fraction)
	case guard.ExpiredBy != expiredByLeader && guard.ExpiredBy != expiredByRole:
		return fmt.Errorf("lapse.by: %q; %s and %s are allowed", guard.ExpiredBy, expiredByLeader, expiredByRole)
	case guard.Minimum < 0 || c.Watchers < 1:
		return errors.New("lapse.least, watchers: 0 and 1 at least")
	}
	return nil
}

func (c *Config) validatePeers() error {
	if n := len(c.Peers); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("peers: %d; a group has 1, 3 or 5 nodes", n)
	}
	seen := map[string]bool{}
	for i, p := range c.Peers {
		for _, value := range []string{"id " + p.ID, "raft " + p.Raft, "http " + p.HTTP} {
			if seen[value] || strings.HasSuffix(value, " ") {
				return fmt.Errorf("peers[%d]: %s: missing, or a duplicate", i, value)
			}
			seen[value] = true
		}
	}
	if !slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.ID == c.ID }) {
		return fmt.Errorf("peers: none of them is %s, this node", c.ID)
	}
	return nil
}

func (c *Config) validateZones() error {
	seen := map[string]bool{}
	for i, zone := range c.Zones {
		if zone.Name == "" || zone.Region == "" {
			return fmt.Errorf("zones[%d]: name and region are required", i)
		}
		if seen[zone.Name] {
			return fmt.Errorf("zones[%d].name: %s is a duplicate", i, zone.Name)
		}
		seen[zone.Name] = true
	}
	return nil
}

func (c *Config) validateMembers() error {
	for i, m := range c.Members {
		member := m.member()
		if err := member.Validate(); err != nil {
			return fmt.Errorf("members[%d]: %w", i, err)
		}
	}
	return nil
}
