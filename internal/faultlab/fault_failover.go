package faultlab

import (
	"context"
	"fmt"
	"net/http"

	"plovershore/internal/discovery"
	"plovershore/internal/failover"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// failoverSource names the sender of notices about a lost relay's messages in the
// history.
const failoverSource = "salvage"

// noticeSink is a server that receives the notices sent by controllers rather than
// through the agent of a relay.
type noticeSink struct {
	*model.Listener
	run *run
}

func (r *run) newNoticeSink() (*noticeSink, error) {
	s := &noticeSink{run: r}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+discovery.NoticePath, s.serveNotices)
	var err error
	if s.Listener, err = model.NewListener(r.ip, mux); err != nil {
		return nil, fmt.Errorf("lab: platform: %w", err)
	}
	return s, nil
}

func (s *noticeSink) serveNotices(w http.ResponseWriter, r *http.Request) {
	notices, err := discovery.ReadNotices(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	model.RecordNotices(s.run.recorder, failoverSource, notices, s.run.onNotice)
	w.WriteHeader(http.StatusNoContent)
}

// runFailover kills a relay, and has the controllers migrate its messages, as operators
// do with a relay that they consider lost. The migration has to be done before the run
// ends. When the step is to be undone, the relay starts again with the state that it
// had.
func (r *run) runFailover(ctx context.Context, step Step, target *relay) error {
	target.shutdown(false)
	var idempotent []string
	for _, class := range model.Classes() {
		if !class.NonIdempotent {
			idempotent = append(idempotent, class.Name)
		}
	}
	o := &operation{group: r.group, kind: failover.Role, name: fmt.Sprintf("%s-%d", target.name, step.At.Milliseconds())}
	spec := failover.Spec{Folder: target.stateDir(), DiskMB: r.scenario.Fleet.DiskMB, IdempotentClasses: idempotent}
	if err := o.run(ctx, spec); err != nil {
		return err
	}
	if err := o.await(ctx, isDone); err != nil {
		return err
	}
	r.recorder.Record(history.Event{Kind: history.FailoverFinished, Relay: target.name, Text: string(o.last.Progress)})
	r.waitUntilUndone(ctx, step)
	return target.start()
}
