package policy

// clientReleaseDelay is the time from the first refusal of connections until those of clients are
// closed: it takes a while until all clients know of it.
const clientReleaseDelay = 6 * second / 10

// startDrain empties the relay of its clients. Messages that it holds or still gets are delivered
// as ever: the process goes on, and has accepted them.
func (p *Policy) startDrain() {
	if p.drainingSince > 0 {
		return
	}
	since := p.now
	p.drainingSince = since
	p.emit(Action{Kind: ActionStopAccepting})
	p.schedule(since+clientReleaseDelay, func() {
		if p.drainingSince == since { // not ended meanwhile
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
