package policy

// callHistory counts requests and accepts over a rolling span. It is created by newCallHistory.
type callHistory struct {
	binWidth  Time
	bins      []historyBin
	newestBin Time // number of the newest bin, counted from the clock's zero
	total     historyBin
	startedAt Time // time of the first use
	isStarted bool
}

// historyBin counts the requests and accepts of one bin of a history.
type historyBin struct{ requests, accepts float64 }

func newCallHistory(span Time, binCount int) callHistory {
	return callHistory{binWidth: span / Time(binCount), bins: make([]historyBin, binCount)}
}

// roll drops the bins that have left the span and returns the current bin.
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

// add adds the counts of a bin of another history at a given time.
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

// withdrawRequest undoes the counting of a request that was just recorded.
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

// acceptRate is the number of accepts a second over the span, or since the first use while that is
// shorter.
func (h *callHistory) acceptRate(now Time) float64 {
	h.roll(now)
	span := min(now-h.startedAt, h.binWidth*Time(len(h.bins)))
	return h.total.accepts * 1e6 / float64(max(span, h.binWidth*2))
}
