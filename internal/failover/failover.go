// Package failover migrates the messages of a lost relay: the relay will not come
// back, and its state folder is still there. Each message of the folder gets one
// final notice, the same however often the leader changes on the way, and none is
// forwarded: a message that never ran, or that is safe to repeat, is returned; one
// that may have run and is not idempotent fails. A relay that comes back late finds
// its folder fenced and starts empty. Which relay is lost is for operators to say.
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
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/leader"
	"plovershore/internal/leader/operations"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/wal"
)

// Role is the name of the role, and the kind of its operations.
const Role = "salvage"

// exportSuffix is appended to a folder's path for the file of its exported log.
const exportSuffix = ".salvage"

const (
	pollInterval    = time.Second
	noticesPerBatch = 100
)

// Messages of an operation, as stored and shown to operators.
const (
	messageWaiting   = "waits: "
	messageExported  = "the log is moved, its folder fenced"
	messageNotifying = "tells the ends"
	messageStuck     = "stuck: "
)

// Spec is the spec of an operation.
type Spec struct {
	Folder string `json:"folder"`  // the relay's state folder on this machine, an absolute path
	DiskMB int    `json:"disk_mb"` // the relay's disk_mb
	// IdempotentClasses are the classes whose messages may take effect again: one that
	// may have run is returned. Of any other class, it fails.
	IdempotentClasses []string `json:"safe,omitempty"`
}

func (s *Spec) validate() error {
	if !filepath.IsAbs(s.Folder) {
		return fmt.Errorf("folder: %q; an absolute path is wanted", s.Folder)
	}
	return nil
}

// exportPath is the file that the folder's log is exported to.
func (s *Spec) exportPath() string { return filepath.Clean(s.Folder) + exportSuffix }

// Progress is how far an operation has come. Notified only grows, in the order of the
// exported log, so that the next leader continues behind it.
type Progress struct {
	Exported bool `json:"moved"`       // the log was exported, and its folder fenced
	Pending  int  `json:"owed"`        // messages of the log
	Notified int  `json:"told"`        // messages whose notice was accepted
	Returned int  `json:"handed_back"` // of those, returned to the platform
	Failed   int  `json:"given_up"`    // of those, failed
}

// Work returns the work of the role. Operations come from the list service; final
// notices go to platform.
func Work(listService, platform *client.Client) leader.Work {
	return func(ctx context.Context, g *leader.Grant) error {
		return operations.Run(ctx, listService, Role, pollInterval, func(ctx context.Context, pending []registry.Operation) error {
			for _, op := range pending {
				if op.DesiredState == registry.DesiredPause {
					continue
				}
				if err := advance(ctx, g, platform, op); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// migration is one operation that is being carried out.
type migration struct {
	grant    *leader.Grant
	platform *client.Client
	op       registry.Operation
	spec     Spec
	progress Progress
}

// advance carries out an operation. What prevents it is reported, and the operation
// is retried.
func advance(ctx context.Context, g *leader.Grant, platform *client.Client, op registry.Operation) error {
	m := &migration{grant: g, platform: platform, op: op}
	err := operations.Decode(op, &m.spec, &m.progress)
	if err == nil {
		err = m.spec.validate()
	}
	if err != nil {
		return m.finish(ctx, operations.MessageInvalid+err.Error())
	}
	if m.progress.Exported {
		return m.notify(ctx)
	}
	if op.DesiredState == registry.DesiredAbort {
		return m.finish(ctx, operations.MessageCanceled)
	}
	exported, err := m.export(ctx)
	if err != nil || !exported {
		return err
	}
	return m.notify(ctx)
}

// export takes the log out of its folder. It reports false where that has to wait,
// as for a relay that still runs.
func (m *migration) export(ctx context.Context) (exported bool, err error) {
	pending, err := exportLog(m.grant, m.spec)
	if errors.Is(err, leader.ErrFenced) {
		return false, err
	}
	if err != nil {
		update := operations.Update{Progress: m.progress, Message: messageWaiting + err.Error()}
		return false, operations.SendIfNew(ctx, m.grant, m.op, update)
	}
	m.progress.Exported, m.progress.Pending = true, pending
	return true, m.publish(ctx, messageExported)
}

// notify sends the final notices that are still pending and completes the operation.
func (m *migration) notify(ctx context.Context) error {
	path := m.spec.exportPath()
	records, err := wal.ReadExport(path)
	if errors.Is(err, os.ErrNotExist) && m.progress.Notified == m.progress.Pending {
		return m.finish(ctx, operations.MessageDone) // a leader before has died in its last step
	}
	if err != nil {
		return m.publish(ctx, messageStuck+err.Error())
	}
	for m.progress.Notified < len(records) {
		end := min(len(records), m.progress.Notified+noticesPerBatch)
		if err := m.notifyBatch(ctx, records[m.progress.Notified:end]); err != nil {
			return err
		}
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("failover: %w", err)
	}
	return m.finish(ctx, operations.MessageDone)
}

// notifyBatch sends the notices of some records in one request and reports them.
func (m *migration) notifyBatch(ctx context.Context, records []*wal.Record) error {
	next := m.progress
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, record := range records {
		notice := FinalNotice(record, m.spec.IdempotentClasses)
		if notice.Outcome == discovery.Returned {
			next.Returned++
		} else {
			next.Failed++
		}
		if err := encoder.Encode(notice); err != nil {
			return fmt.Errorf("failover: notice: %w", err)
		}
	}
	next.Notified += len(records)
	if _, err := m.platform.Do(ctx, http.MethodPost, discovery.NoticePath, lines.Bytes(), nil); err != nil {
		return err
	}
	m.progress = next
	return m.publish(ctx, messageNotifying)
}

func (m *migration) publish(ctx context.Context, message string) error {
	return operations.Send(ctx, m.grant, m.op, operations.Update{Progress: m.progress, Message: message})
}

func (m *migration) finish(ctx context.Context, message string) error {
	return operations.Send(ctx, m.grant, m.op, operations.Update{Progress: m.progress, Message: message, Done: true})
}
