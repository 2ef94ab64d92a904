// Package failover is the duty that sees what a relay owed to its end, where that
// relay will not come back and its folder lasts. It promises that each message of
// the folder gets one end, the same however often a holder of the duty dies on
// the way, and that none is sent: what never ran is handed back, and so is what
// may run again; what may have run and may not again is given up. A relay that comes back late finds its folder fenced, and
// begins empty. Which folder is lost is the operators' to say.
package failover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/leader"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/wal"
)

// Duty is its name, and the kind of its orders.
const Duty = "salvage"

const (
	lookEvery  = time.Second
	noticeMost = 100 // that are told as one
	retryMS    = 500 // after which a message that was handed back may come again
)

// Spec is an order's: a relay's state folder on this machine.
type Spec struct {
	Folder string `json:"folder"`
	DiskMB int    `json:"disk_mb"`
	// Safe are the classes whose messages may take effect again. One that may have
	// run is handed back then; of a class that is not named here, it is given up.
	Safe []string `json:"safe,omitempty"`
}

// Progress is how far an order has come. Told only grows, in the order of the
// exported log, so that the next holder goes on behind it.
type Progress struct {
	Moved      bool `json:"moved"` // the log was exported, and its folder fenced
	Owed       int  `json:"owed"`
	Told       int  `json:"told"`
	HandedBack int  `json:"handed_back"`
	GivenUp    int  `json:"given_up"`
}

// Work is the duty's. Orders come from and go to the list service by c; how
// messages end is told by platform.
func Work(c, platform *client.Client) leader.Work {
	return func(ctx context.Context, g *leader.Grant) error {
		t := time.NewTicker(lookEvery)
		defer t.Stop()
		for {
			var all []registry.Order
			if _, err := c.Do(ctx, http.MethodGet, registry.OrdersPath, nil, &all); err != nil {
				return leader.Ended(ctx, err)
			}
			for _, o := range all {
				if o.Kind != Duty || o.Done || o.Wish == registry.WishPause {
					continue
				}
				if err := one(ctx, g, platform, o); err != nil {
					return leader.Ended(ctx, err)
				}
			}
			select {
			case <-t.C:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// one brings an order on. What keeps it from that is told in the order, and
// tried again.
func one(ctx context.Context, g *leader.Grant, platform *client.Client, o registry.Order) error {
	var spec Spec
	var p Progress
	err := json.Unmarshal(o.Spec, &spec)
	if err == nil && len(o.Progress) > 0 {
		err = json.Unmarshal(o.Progress, &p)
	}
	if err == nil && (spec.Folder == "" || !filepath.IsAbs(spec.Folder)) {
		err = fmt.Errorf("folder: %q; an absolute path is wanted", spec.Folder)
	}
	if err != nil {
		return tell(ctx, g, o, p, "cannot be used: "+err.Error(), true)
	}
	if o.Wish == registry.WishAbort && !p.Moved {
		return tell(ctx, g, o, p, "called off", true)
	}
	file := filepath.Clean(spec.Folder) + ".salvage"
	if !p.Moved {
		owed, err := move(g, spec, file)
		if err != nil {
			if errors.Is(err, leader.ErrFenced) {
				return err
			}
			if says := "waits: " + err.Error(); says != o.Says {
				return tell(ctx, g, o, p, says, false)
			}
			return nil
		}
		p.Moved, p.Owed = true, owed
		if err := tell(ctx, g, o, p, "the log is moved, its folder fenced", false); err != nil {
			return err
		}
	}
	recs, err := wal.ReadExport(file)
	if errors.Is(err, os.ErrNotExist) && p.Told == p.Owed {
		return tell(ctx, g, o, p, "done", true) // a holder before has ended in its last step
	}
	if err != nil {
		return tell(ctx, g, o, p, "stuck: "+err.Error(), false)
	}
	for p.Told < len(recs) {
		part := recs[p.Told:min(len(recs), p.Told+noticeMost)]
		next := p
		var lines bytes.Buffer
		for _, r := range part {
			n := End(r, spec.Safe)
			if n.Outcome == discovery.HandedBack {
				next.HandedBack++
			} else {
				next.GivenUp++
			}
			if err := json.NewEncoder(&lines).Encode(n); err != nil {
				return fmt.Errorf("salvage: %w", err)
			}
		}
		next.Told += len(part)
		if _, err := platform.Do(ctx, http.MethodPost, discovery.NoticePath, lines.Bytes(), nil); err != nil {
			return err
		}
		p = next
		if err := tell(ctx, g, o, p, "tells the ends", false); err != nil {
			return err
		}
	}
	if err := os.Remove(file); err != nil {
		return fmt.Errorf("salvage: %w", err)
	}
	return tell(ctx, g, o, p, "done", true)
}

// move takes the log out of its folder, under the folder's lock and the duty's
// fence, and gives how much it owes. A file of that name is the work of a holder
// before, whose folder was fenced first: it is gone on with, though the relay may
// have come back since and begun empty.
func move(g *leader.Grant, spec Spec, file string) (owed int, err error) {
	recs, err := wal.ReadExport(file)
	if err == nil {
		if release, err := wal.Own(spec.Folder); err == nil {
			_, err = wal.FinishExport(spec.Folder, file)
			release()
			return len(recs), err
		}
		return len(recs), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	release, err := wal.Own(spec.Folder)
	if err != nil {
		return 0, err
	}
	defer release()
	if err := leader.Fence(spec.Folder, Duty, g.Token); err != nil {
		return 0, err
	}
	report, err := wal.Export(spec.Folder, file, int64(max(spec.DiskMB, 3))<<20)
	if err != nil {
		return 0, err
	}
	return report.Owed, nil
}

// End is how a message ends that nobody will send. A message of which damage took
// all but its id may be of any class.
func End(r *wal.Record, safe []string) discovery.Notice {
	switch {
	case r.Notice != "": // it was over, and its platform may have heard
		return discovery.Notice{Message: r.ID, Outcome: r.Notice, RetryMS: r.RetryMS}
	case r.Lost || r.Doubt != 0 && !slices.Contains(safe, r.Class):
		return discovery.Notice{Message: r.ID, Outcome: discovery.GivenUp}
	}
	return discovery.Notice{Message: r.ID, Outcome: discovery.HandedBack, RetryMS: retryMS}
}

func tell(ctx context.Context, g *leader.Grant, o registry.Order, p Progress, says string, done bool) error {
	text, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("salvage: %w", err)
	}
	return g.Do(ctx, http.MethodPost, registry.OrdersPath+"/"+o.Kind+"/"+o.Name+"/progress", registry.Order{Progress: text, Says: says, Done: done}, nil)
}
