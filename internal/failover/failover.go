// Package failover completes the messages of a lost relay: one that will not come back,
// but whose state folder still exists. Operators decide which relay is lost. Each message
// in the folder gets a final notice. The notice may be sent again after a failure or a
// change of the leader, but always has the same outcome. No message is forwarded: a message that never ran, or that may safely run
// again, is returned to the platform, and a message that may have run and is not
// idempotent fails. A relay that comes back after all finds its folder fenced and starts
// with an empty log.
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

// exportSuffix is appended to the path of a state folder to name the file of its
// exported log.
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
	Folder string `json:"folder"`  // absolute path of the relay's state folder on this machine
	DiskMB int    `json:"disk_mb"` // the relay's setting disk_mb: the size limit of its log
	// IdempotentClasses are the classes whose messages may take effect twice. A message
	// that may have run is returned if it is of such a class, and fails otherwise.
	IdempotentClasses []string `json:"safe,omitempty"`
}

func (s *Spec) validate() error {
	if !filepath.IsAbs(s.Folder) {
		return fmt.Errorf("folder: %q; an absolute path is wanted", s.Folder)
	}
	return nil
}

// exportPath returns the path of the file that the folder's log is exported to.
func (s *Spec) exportPath() string { return filepath.Clean(s.Folder) + exportSuffix }

// Progress is the progress of an operation. Notices are sent in the order of the exported
// log, so that the next leader continues after the first Notified messages.
type Progress struct {
	Exported bool `json:"moved"`       // the log was exported and its folder fenced
	Pending  int  `json:"owed"`        // pending messages in the exported log
	Notified int  `json:"told"`        // messages whose notice the platform accepted
	Returned int  `json:"handed_back"` // notified messages that were returned to the platform
	Failed   int  `json:"given_up"`    // notified messages that failed
}

// Work returns the work of the role. It reads operations from the list service and sends
// final notices to platform.
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

// advance carries out an operation. An operation with an invalid spec is done at once. If
// the log cannot be exported or its export cannot be read, advance stores the reason as the
// operation's message, and the next pass retries the operation. It returns other errors,
// such as that the platform does not accept notices.
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

// export moves the log out of its folder. It returns false if that is not possible yet,
// for example because the relay still runs.
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

// notify sends the final notices that were not sent yet and completes the operation.
func (m *migration) notify(ctx context.Context) error {
	path := m.spec.exportPath()
	records, err := wal.ReadExport(path)
	if errors.Is(err, os.ErrNotExist) && m.progress.Notified == m.progress.Pending {
		return m.finish(ctx, operations.MessageDone) // a previous leader removed the file and died before it reported that
	}
	if err != nil {
		return m.publish(ctx, messageStuck+err.Error())
	}
	for m.progress.Notified < len(records) {
		batchEnd := min(len(records), m.progress.Notified+noticesPerBatch)
		if err := m.notifyBatch(ctx, records[m.progress.Notified:batchEnd]); err != nil {
			return err
		}
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("failover: %w", err)
	}
	return m.finish(ctx, operations.MessageDone)
}

// notifyBatch sends the notices of some records in one request and then stores the
// progress.
func (m *migration) notifyBatch(ctx context.Context, records []*wal.Record) error {
	progress := m.progress
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for _, record := range records {
		notice := FinalNotice(record, m.spec.IdempotentClasses)
		if notice.Outcome == discovery.Returned {
			progress.Returned++
		} else {
			progress.Failed++
		}
		if err := encoder.Encode(notice); err != nil {
			return fmt.Errorf("failover: notice: %w", err)
		}
	}
	progress.Notified += len(records)
	if _, err := m.platform.Do(ctx, http.MethodPost, discovery.NoticePath, body.Bytes(), nil); err != nil {
		return err
	}
	m.progress = progress
	return m.publish(ctx, messageNotifying)
}

func (m *migration) publish(ctx context.Context, message string) error {
	return operations.Send(ctx, m.grant, m.op, operations.Update{Progress: m.progress, Message: message})
}

func (m *migration) finish(ctx context.Context, message string) error {
	return operations.Send(ctx, m.grant, m.op, operations.Update{Progress: m.progress, Message: message, Done: true})
}
