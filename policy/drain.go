package policy

// clientReleaseDelay is the time from when the relay begins to report that it is draining until it
// closes its clients' connections: it takes a while until all clients know of the drain.
const clientReleaseDelay = 6 * second / 10

// startDrain begins to send the relay's clients away. Messages that it holds or still receives are
// delivered as usual: the process keeps running and has accepted them.
func (p *Policy) startDrain() {
	if p.drainingSince > 0 {
		return
	}
	since := p.now
	p.drainingSince = since
	p.emit(Action{Kind: ActionStopAccepting})
	p.schedule(since+clientReleaseDelay, func() {
		if p.drainingSince == since { // the drain was not ended meanwhile
			p.emit(Action{Kind: ActionReleaseClients})
		}
	})
}

// endDrain has the relay accept clients again.
func (p *Policy) endDrain() {
	if p.drainingSince > 0 {
		p.drainingSince = 0
		p.emit(Action{Kind: ActionAcceptClients})
	}
}
