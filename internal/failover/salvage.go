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

// Role is its name, and the kind of its orders.
const Role = "salvage"

const (
	lookEvery  = time.Second
	noticeMost = 100 // that are told as one
	retryMS    = 500 // after which a message that was handed back may come again
)

// Spec is an order's: a relay's state folder on this machine.
type Spec struct {
	Folder string `json:"folder"`
	DiskMB int    `json:"disk_mb"`
	// IdempotentClasses are the classes whose messages may take effect again. One that may have
	// run is handed back then; of a class that is not named here, it is given up.
	IdempotentClasses []string `json:"safe,omitempty"`
}

// Progress is how far an order has come. Told only grows, in the order of the
// exported log, so that the next holder goes on behind it.
type Progress struct {
	Exported bool `json:"moved"` // the log was exported, and its folder fenced
	Pending  int  `json:"owed"`
	Notified int  `json:"told"`
	Returned int  `json:"handed_back"`
	Failed   int  `json:"given_up"`
}

// Work is the duty's. Orders come from and go to the list service by c; how
// messages end is told by platform.
func Work(c, platform *client.Client) leader.Work {
	return func(ctx context.Context, g *leader.Grant) error {
		t := time.NewTicker(lookEvery)
		defer t.Stop()
		for {
			var all []registry.Operation
			if _, err := c.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &all); err != nil {
				return leader.IgnoreCancellation(ctx, err)
			}
			for _, o := range all {
				if o.Kind != Role || o.Done || o.DesiredState == registry.DesiredPause {
					continue
				}
				if err := one(ctx, g, platform, o); err != nil {
					return leader.IgnoreCancellation(ctx, err)
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
func one(ctx context.Context, g *leader.Grant, platform *client.Client, o registry.Operation) error {
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
	if o.DesiredState == registry.DesiredAbort && !p.Exported {
		return tell(ctx, g, o, p, "called off", true)
	}
	file := filepath.Clean(spec.Folder) + ".salvage"
	if !p.Exported {
		owed, err := move(g, spec, file)
		if err != nil {
			if errors.Is(err, leader.ErrFenced) {
				return err
			}
			if says := "waits: " + err.Error(); says != o.Message {
				return tell(ctx, g, o, p, says, false)
			}
			return nil
		}
		p.Exported, p.Pending = true, owed
		if err := tell(ctx, g, o, p, "the log is moved, its folder fenced", false); err != nil {
			return err
		}
	}
	recs, err := wal.ReadExport(file)
	if errors.Is(err, os.ErrNotExist) && p.Notified == p.Pending {
		return tell(ctx, g, o, p, "done", true) // a holder before has ended in its last step
	}
	if err != nil {
		return tell(ctx, g, o, p, "stuck: "+err.Error(), false)
	}
	for p.Notified < len(recs) {
		part := recs[p.Notified:min(len(recs), p.Notified+noticeMost)]
		next := p
		var lines bytes.Buffer
		for _, r := range part {
			n := FinalNotice(r, spec.IdempotentClasses)
			if n.Outcome == discovery.Returned {
				next.Returned++
			} else {
				next.Failed++
			}
			if err := json.NewEncoder(&lines).Encode(n); err != nil {
				return fmt.Errorf("salvage: %w", err)
			}
		}
		next.Notified += len(part)
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
		if release, err := wal.LockFolder(spec.Folder); err == nil {
			_, err = wal.FinishExport(spec.Folder, file)
			release()
			return len(recs), err
		}
		return len(recs), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	release, err := wal.LockFolder(spec.Folder)
	if err != nil {
		return 0, err
	}
	defer release()
	if err := leader.Fence(spec.Folder, Role, g.Token); err != nil {
		return 0, err
	}
	report, err := wal.Export(spec.Folder, file, int64(max(spec.DiskMB, 3))<<20)
	if err != nil {
		return 0, err
	}
	return report.Pending, nil
}

// FinalNotice is how a message ends that nobody will send. A message of which damage took
// all but its id may be of any class.
func FinalNotice(r *wal.Record, safe []string) discovery.Notice {
	switch {
	case r.Notice != "": // it was over, and its platform may have heard
		return discovery.Notice{Message: r.ID, Outcome: r.Notice, RetryMS: r.RetryMS}
	case r.Corrupted || r.UnknownOutcomeAt != 0 && !slices.Contains(safe, r.Class):
		return discovery.Notice{Message: r.ID, Outcome: discovery.Failed}
	}
	return discovery.Notice{Message: r.ID, Outcome: discovery.Returned, RetryMS: retryMS}
}

func tell(ctx context.Context, g *leader.Grant, o registry.Operation, p Progress, says string, done bool) error {
	text, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("salvage: %w", err)
	}
	return g.Do(ctx, http.MethodPost, registry.OperationsPath+"/"+o.Kind+"/"+o.Name+"/progress", registry.Operation{Progress: text, Message: says, Done: done}, nil)
}
