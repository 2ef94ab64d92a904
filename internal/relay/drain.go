package relay

import "plovershore/policy"

// An operator drains a relay, not a process. While two processes of it run, each command is
// therefore shared through the drain marker in the state folder: the process that gets the
// command publishes it, and the other one adopts it when it next checks the ownership.

// operatorCommand is a command that operators give at the operator address. Both commands are
// idempotent.
type operatorCommand string

const (
	commandDrain    operatorCommand = "drain"    // send the clients away
	commandActivate operatorCommand = "activate" // accept clients again
)

// drainState is what a process knows of the drain of its relay. Only the loop uses it.
type drainState struct {
	clients        policy.ClientDrain
	marker         drainMarker
	isDrained      bool // what the operators want, as far as this process knows
	isUnpublished  bool // the marker does not show isDrained yet
	isCommanded    bool // this process was given a command before its loop ran
	hidesReadiness bool // readyz answers 503: this process was told to drain, or was draining after it had been ready
	isFaultLogged  bool // the present failure of the marker was logged
}

// applyOperatorCommand handles a command that this process was given.
func (r *Relay) applyOperatorCommand(command operatorCommand) {
	r.log.Info("operator command", "drain", command == commandDrain)
	r.drain.isDrained, r.drain.isUnpublished = command == commandDrain, true
	r.publishDrain()
	r.applyDrain()
}

// deferOperatorCommand publishes a command to the process that owns the relay. This process
// applies it when it begins to serve.
func (r *Relay) deferOperatorCommand(command operatorCommand) {
	r.log.Info("operator command", "drain", command == commandDrain)
	r.drain.isDrained, r.drain.isUnpublished, r.drain.isCommanded = command == commandDrain, true, true
	r.publishDrain()
}

// adoptPredecessorDrain finds out, before this process serves clients, whether the relay is
// drained. A drain outlasts an upgrade, but not the end of a relay's last process.
func (r *Relay) adoptPredecessorDrain() {
	if !r.ownership.hasPredecessor {
		r.drain.isUnpublished = true // a marker of an earlier process is removed
	}
	r.refreshDrain()
}

// startDraining begins to serve clients in the drain that this process has found or was
// commanded before. If it has only inherited the drain, readyz answers 200 all the same: the
// process could serve, and an upgrade waits for that.
func (r *Relay) startDraining() {
	r.refreshDrain()
	if !r.drain.isDrained {
		return
	}
	r.drain.hidesReadiness = r.drain.isCommanded
	r.drain.clients.Inherit(r.clock.now())
	r.clients.setDraining(true)
	r.releaseDrainedClients()
}

// adoptSharedDrain applies a command that another process of this relay was given.
func (r *Relay) adoptSharedDrain() {
	r.refreshDrain()
	r.applyDrain()
}

// refreshDrain publishes this process's last command, or else reads what the other process has
// published.
func (r *Relay) refreshDrain() {
	r.publishDrain()
	if r.drain.isUnpublished {
		return
	}
	isDrained, err := r.drain.marker.isSet()
	r.logDrainFault(err)
	if err == nil {
		r.drain.isDrained = isDrained
	}
}

// publishDrain shows the last command to the other process, if there is one. If that fails, the
// loop tries again whenever it checks the ownership.
func (r *Relay) publishDrain() {
	if !r.drain.isUnpublished {
		return
	}
	err := r.drain.marker.set(r.drain.isDrained)
	r.logDrainFault(err)
	r.drain.isUnpublished = err != nil
}

func (r *Relay) logDrainFault(err error) {
	if err != nil && !r.drain.isFaultLogged {
		r.log.Warn("drain not shared, retrying", "err", err)
	}
	r.drain.isFaultLogged = err != nil
}

// applyDrain drains this process or has it accept clients again, as the operators want. A
// process that shuts down sends its clients away in any case.
func (r *Relay) applyDrain() {
	if r.shutdown.isRunning() {
		return
	}
	if !r.drain.isDrained {
		if r.drain.clients.End() {
			r.drain.hidesReadiness = false
			r.clients.setDraining(false)
			r.setReadyUnlessDrained()
		}
		return
	}
	if r.drain.clients.Begin(r.clock.now()) {
		r.drain.hidesReadiness = true
		r.ready.Store(false)
		r.clients.setDraining(true)
	}
}

// releaseDrainedClients closes the clients' connections once the drain says so.
func (r *Relay) releaseDrainedClients() {
	if r.drain.clients.ReleaseClients(r.clock.now()) {
		r.clients.drainConnections()
	}
}
