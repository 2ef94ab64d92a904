package report

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// collector computes the figures of a history, event by event.
type collector struct {
	stats      *Stats
	classes    []model.Class
	classIndex map[string]int // index in classes, by class name

	firstRequests map[string]*firstRequest // by the message's first ID
	firstIDs      map[string]string        // the message's first ID, by the ID of each request
	calls         map[int64]history.Event  // CallReceived of each call whose response is not received yet
	responses     map[int64]history.Event  // ResponseSent of the same calls
	broken        map[int64]bool           // calls whose connection ended before a response was recorded as received
	latency       *hdrhistogram.Histogram
	cpu           map[int]float64 // CPU seconds at the last sample, by PID

	elapsed float64 // seconds from the start of the load to the current event
	second  int
}

// Collect returns the figures of a history file.
func Collect(path string) (*Stats, error) {
	c := newCollector()
	if err := history.Read(path, c.feed); err != nil {
		return nil, err
	}
	c.stats.finish(c.firstRequests, c.classes, c.latency)
	return c.stats, nil
}

func newCollector() *collector {
	c := &collector{
		stats: &Stats{
			Classes: map[string]float64{},
			MaxRSS:  map[string]int64{},
			MaxFDs:  map[string]int{},
			CPU:     map[string]float64{},
			series:  series{startTime: -1, rss: map[string][][2]float64{}, fds: map[string][][2]float64{}, lastByName: map[string]int{}},
		},
		classes:       model.Classes(),
		classIndex:    map[string]int{},
		firstRequests: map[string]*firstRequest{},
		firstIDs:      map[string]string{},
		calls:         map[int64]history.Event{},
		responses:     map[int64]history.Event{},
		broken:        map[int64]bool{},
		latency:       hdrhistogram.New(1, maxLatencyMicros, 3),
		cpu:           map[int]float64{},
	}
	for i, class := range c.classes {
		c.classIndex[class.Name] = i
	}
	return c
}

// feed handles one event. It ignores events before the start of the load.
func (c *collector) feed(e history.Event) {
	if e.Kind == history.Run {
		c.stats.series.startTime = e.Time
	}
	if c.stats.series.startTime < 0 {
		return
	}
	c.elapsed = float64(e.Time-c.stats.series.startTime) / 1e6
	c.second = int(max(0, c.elapsed))
	c.stats.Seconds = max(c.stats.Seconds, c.elapsed)
	switch e.Kind {
	case history.MessageSubmitted, history.MessageRejected, history.SubmitUnanswered, history.Notice:
		c.feedMessage(e)
	case history.CallReceived, history.ResponseSent, history.CallAborted, history.CallBroken, history.ResponseReceived:
		c.feedCall(e)
	case history.UsageSampled:
		c.usageSampled(e)
	case history.Fault:
		c.faultChanged(e)
	}
}

func (c *collector) feedMessage(e history.Event) {
	stats := c.stats
	switch e.Kind {
	case history.MessageSubmitted:
		stats.Requests++
		c.firstIDs[e.Message] = e.FirstMessage
		if c.firstRequests[e.FirstMessage] == nil {
			stats.Messages++
			c.firstRequests[e.FirstMessage] = &firstRequest{due: e.DueAt, class: c.classIndex[e.Class]}
		}
	case history.MessageRejected:
		c.requestRejected()
	case history.SubmitUnanswered:
		stats.Unanswered++
	case history.Notice:
		if e.Text == discovery.Returned {
			c.requestRejected()
			return
		}
		stats.Failed++
		addToSecond(&stats.series.failed, c.second, 1)
	}
}

func (c *collector) requestRejected() {
	c.stats.Rejected++
	addToSecond(&c.stats.series.rejected, c.second, 1)
}

func (c *collector) feedCall(e history.Event) {
	switch e.Kind {
	case history.CallReceived:
		c.stats.Calls++
		c.calls[e.Call] = e
		addToSecond(&c.stats.series.calls, c.second, 1)
	case history.ResponseSent:
		c.responses[e.Call] = e
	case history.CallAborted, history.CallBroken:
		if !c.broken[e.Call] && c.calls[e.Call].Kind != "" {
			c.broken[e.Call] = true
			c.addFailedCalls(1)
		}
	case history.ResponseReceived:
		c.responseReceived(e)
	}
}

func (c *collector) addFailedCalls(n int) {
	c.stats.FailedCalls += n
	addToSecond(&c.stats.series.failedCalls, c.second, float64(n))
}

// responseReceived handles a response that a relay received.
func (c *collector) responseReceived(e history.Event) {
	call, response := c.calls[e.Call], c.responses[e.Call]
	if c.broken[e.Call] { // the relay closed the connection right after the response, so the call did not fail
		c.addFailedCalls(-1)
	}
	delete(c.calls, e.Call)
	delete(c.responses, e.Call)
	switch response.Status {
	case http.StatusOK:
		for i, id := range call.Messages {
			inBatch := len(response.States) > 0
			if !inBatch || i < len(response.States) && response.States[i] == model.StateAccepted {
				c.messageDelivered(c.firstRequests[c.firstIDs[id]], e.Time)
			}
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.stats.RejectedCalls++
		addToSecond(&c.stats.series.rejectedCalls, c.second, 1)
	case 0, http.StatusInternalServerError:
		c.addFailedCalls(1)
	}
}

// messageDelivered handles the delivery of a message. Only the first delivery counts.
func (c *collector) messageDelivered(request *firstRequest, deliveredAt int64) {
	if request == nil || request.done {
		return
	}
	request.done = true
	c.stats.Delivered++
	took := deliveredAt - request.due
	c.recordLatency(min(max(1, took), maxLatencyMicros))
	class := &c.classes[request.class]
	value := class.Value(time.Duration(took) * time.Microsecond)
	c.stats.Classes[class.Name] += value
	addToSecond(&c.stats.series.served, c.stats.series.secondOf(request.due), value)
}

func (c *collector) recordLatency(micros int64) {
	_ = c.latency.RecordValue(micros) // cannot fail: the value is within the histogram's bounds
	bySecond := &c.stats.series.latency
	for len(*bySecond) <= c.second {
		*bySecond = append(*bySecond, nil)
	}
	if (*bySecond)[c.second] == nil {
		(*bySecond)[c.second] = hdrhistogram.New(1, maxLatencyMicros, 2)
	}
	_ = (*bySecond)[c.second].RecordValue(micros)
}

// usageSampled handles a sample of what a relay's process uses.
func (c *collector) usageSampled(e history.Event) {
	stats := c.stats
	stats.MaxRSS[e.Relay] = max(stats.MaxRSS[e.Relay], e.RSS)
	stats.MaxFDs[e.Relay] = max(stats.MaxFDs[e.Relay], e.FDs)
	cpuSeconds := float64(e.CPU) / 1e6
	stats.CPU[e.Relay] += cpuSeconds - c.cpu[e.PID]
	c.cpu[e.PID] = cpuSeconds
	stats.series.rss[e.Relay] = append(stats.series.rss[e.Relay], [2]float64{c.elapsed, float64(e.RSS) / (1 << 20)})
	stats.series.fds[e.Relay] = append(stats.series.fds[e.Relay], [2]float64{c.elapsed, float64(e.FDs)})
}

// faultChanged handles the begin or end of a fault.
func (c *collector) faultChanged(e history.Event) {
	s := &c.stats.series
	if e.Active {
		s.lastByName[e.Text] = len(s.faults)
		s.faults = append(s.faults, faultSpan{e.Text, c.elapsed, -1})
	} else if i, ok := s.lastByName[e.Text]; ok {
		s.faults[i].to = c.elapsed
	}
}
