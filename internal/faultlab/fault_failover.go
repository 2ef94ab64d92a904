package faultlab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/failover"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/registry"
)

// failoverSource names the sender of notices about a lost relay's messages in the history.
const failoverSource = "salvage"

// platform is where notices go that come from no relay's own agent.
type platform struct {
	*model.Listener
	run *run
}

func (r *run) newPlatform() (*platform, error) {
	p := &platform{run: r}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+discovery.NoticePath, p.serveNotices)
	var err error
	if p.Listener, err = model.NewListener(r.ip, mux); err != nil {
		return nil, fmt.Errorf("lab: platform: %w", err)
	}
	return p, nil
}

func (p *platform) serveNotices(w http.ResponseWriter, r *http.Request) {
	all, err := discovery.ReadNotices(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	model.RecordNotices(p.run.recorder, failoverSource, all, p.run.onNotice)
	w.WriteHeader(http.StatusNoContent)
}

// strikeFailover loses a relay for good, as its operators see it: they have the
// wardens salvage its folder, which has to be done before the run ends. Later the
// relay comes back all the same, over the folder that it had.
func (r *run) strikeFailover(ctx context.Context, s Step, x *relay) error {
	x.stop(false)
	var safe []string
	for _, c := range model.Classes() {
		if !c.NonIdempotent {
			safe = append(safe, c.Name)
		}
	}
	spec, err := json.Marshal(failover.Spec{Folder: x.stateDir(), DiskMB: r.scenario.Fleet.DiskMB, IdempotentClasses: safe})
	if err != nil {
		return fmt.Errorf("lab: salvage: %w", err)
	}
	name := fmt.Sprintf("%s-%d", x.name, s.At.Milliseconds())
	if _, err := r.group.client.Do(ctx, http.MethodPut, registry.OperationsPath+"/"+failover.Role+"/"+name, registry.Operation{Spec: spec, DesiredState: registry.DesiredRun}, nil); err != nil {
		return fmt.Errorf("lab: salvage: %w", err)
	}
	last := registry.Operation{Message: "not begun"}
	for !last.Done {
		var all []registry.Operation
		if _, err := r.group.client.Do(ctx, http.MethodGet, registry.OperationsPath, nil, &all); err == nil {
			for _, o := range all {
				if o.Kind == failover.Role && o.Name == name {
					last = o
				}
			}
		}
		if !model.Sleep(ctx, 50*time.Millisecond) {
			return fmt.Errorf("lab: salvage of %s: not at its end: %s, %s", x.name, last.Message, last.Progress)
		}
	}
	r.recorder.Record(history.Event{Kind: history.FailoverFinished, Relay: x.name, Text: string(last.Progress)})
	r.waitUntilUndone(ctx, s)
	return x.start()
}
