package policy

// callHistory counts requests and accepts over a rolling span. It is made by newCallHistory.
type callHistory struct {
	binWidth  Time
	bins      []historyBin
	newestBin Time // number of the newest bin since the clock's zero
	total     historyBin
	startedAt Time // first use
	isStarted bool
}

// historyBin counts the requests and accepts of one step of a span.
type historyBin struct{ requests, accepts float64 }

func newCallHistory(span Time, binCount int) callHistory {
	return callHistory{binWidth: span / Time(binCount), bins: make([]historyBin, binCount)}
}

// roll drops the bins that have left the span and gives the one for now.
func (h *callHistory) roll(now Time) *historyBin {
	current := now / h.binWidth
	if !h.isStarted {
		h.isStarted, h.startedAt, h.newestBin = true, now, current
	}
	size := Time(len(h.bins))
	for ; h.newestBin < current; h.newestBin++ {
		if current-h.newestBin > size {
			h.newestBin = current - size
		}
		oldest := &h.bins[(h.newestBin+1)%size]
		h.total.requests -= oldest.requests
		h.total.accepts -= oldest.accepts
		*oldest = historyBin{}
	}
	return &h.bins[h.newestBin%size]
}

// add counts a bin of another history at a moment.
func (h *callHistory) add(at Time, counts historyBin) {
	bin := h.roll(at)
	bin.requests += counts.requests
	bin.accepts += counts.accepts
	h.total.requests += counts.requests
	h.total.accepts += counts.accepts
}

func (h *callHistory) recordRequest(now Time) {
	h.roll(now).requests++
	h.total.requests++
}

func (h *callHistory) recordAccept(now Time) {
	h.roll(now).accepts++
	h.total.accepts++
}

// withdrawRequest takes back a request that was counted a moment ago.
func (h *callHistory) withdrawRequest(now Time) {
	if bin := h.roll(now); bin.requests >= 1 {
		bin.requests--
		h.total.requests--
	}
}

func (h *callHistory) totals(now Time) (requests, accepts float64) {
	h.roll(now)
	return h.total.requests, h.total.accepts
}

// acceptRate is accepts a second over the span, or since the start while that is shorter.
func (h *callHistory) acceptRate(now Time) float64 {
	h.roll(now)
	span := min(now-h.startedAt, h.binWidth*Time(len(h.bins)))
	return h.total.accepts * 1e6 / float64(max(span, h.binWidth*2))
}
