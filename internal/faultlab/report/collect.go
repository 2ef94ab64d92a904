package report

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/history"
	"plovershore/internal/faultlab/model"
)

// collector makes the figures of a history, event by event.
type collector struct {
	stats   *Stats
	classes []model.Class
	byName  map[string]int // index of a class

	firsts    map[string]*first // by message
	firstID   map[string]string // of each request, the message's first ID
	calls     map[int64]history.Event
	responses map[int64]history.Event
	broken    map[int64]bool // calls whose connection ended
	latency   *hdrhistogram.Histogram
	cpu       map[int]float64 // seconds, by process

	at     float64 // seconds of the present event from the load's begin
	second int
}

// Collect makes the figures of a history file.
func Collect(path string) (*Stats, error) {
	c := newCollector()
	if err := history.Read(path, c.feed); err != nil {
		return nil, err
	}
	c.stats.finish(c.firsts, c.classes, c.latency)
	return c.stats, nil
}

func newCollector() *collector {
	c := &collector{
		stats: &Stats{
			Classes: map[string]float64{},
			MaxRSS:  map[string]int64{},
			MaxFDs:  map[string]int{},
			CPU:     map[string]float64{},
			series:  series{from: -1, rss: map[string][][2]float64{}, fds: map[string][][2]float64{}, open: map[string]int{}},
		},
		classes:   model.Classes(),
		byName:    map[string]int{},
		firsts:    map[string]*first{},
		firstID:   map[string]string{},
		calls:     map[int64]history.Event{},
		responses: map[int64]history.Event{},
		broken:    map[int64]bool{},
		latency:   hdrhistogram.New(1, maxLatencyMicros, 3),
		cpu:       map[int]float64{},
	}
	for i, class := range c.classes {
		c.byName[class.Name] = i
	}
	return c
}

// feed takes one event; those before the load are passed over.
func (c *collector) feed(e history.Event) {
	if e.Kind == history.Run {
		c.stats.series.from = e.Time
	}
	if c.stats.series.from < 0 {
		return
	}
	c.at = float64(e.Time-c.stats.series.from) / 1e6
	c.second = int(max(0, c.at))
	c.stats.Seconds = max(c.stats.Seconds, c.at)
	switch e.Kind {
	case history.MessageSubmitted, history.MessageRejected, history.SubmitUnanswered, history.Notice:
		c.feedMessage(e)
	case history.CallReceived, history.ResponseSent, history.CallAborted, history.CallBroken, history.ResponseReceived:
		c.feedCall(e)
	case history.UsageSampled:
		c.sample(e)
	case history.Fault:
		c.fault(e)
	}
}

func (c *collector) feedMessage(e history.Event) {
	stats := c.stats
	switch e.Kind {
	case history.MessageSubmitted:
		stats.Requests++
		c.firstID[e.Message] = e.FirstMessage
		if c.firsts[e.FirstMessage] == nil {
			stats.Messages++
			c.firsts[e.FirstMessage] = &first{due: e.DueAt, class: c.byName[e.Class]}
		}
	case history.MessageRejected:
		c.rejected()
	case history.SubmitUnanswered:
		stats.Unanswered++
	case history.Notice:
		if e.Text == discovery.Returned {
			c.rejected()
			return
		}
		stats.Failed++
		add(&stats.series.failed, c.second, 1)
	}
}

func (c *collector) rejected() {
	c.stats.Rejected++
	add(&c.stats.series.rejected, c.second, 1)
}

func (c *collector) feedCall(e history.Event) {
	switch e.Kind {
	case history.CallReceived:
		c.stats.Calls++
		c.calls[e.Call] = e
		add(&c.stats.series.calls, c.second, 1)
	case history.ResponseSent:
		c.responses[e.Call] = e
	case history.CallAborted, history.CallBroken:
		if !c.broken[e.Call] && c.calls[e.Call].Kind != "" {
			c.broken[e.Call] = true
			c.failedCalls(1)
		}
	case history.ResponseReceived:
		c.responseReceived(e)
	}
}

func (c *collector) failedCalls(n int) {
	c.stats.FailedCalls += n
	add(&c.stats.series.failedCalls, c.second, float64(n))
}

// responseReceived takes a response that a relay received.
func (c *collector) responseReceived(e history.Event) {
	call, response := c.calls[e.Call], c.responses[e.Call]
	if c.broken[e.Call] { // the relay closed the connection as soon as it had the response
		c.failedCalls(-1)
	}
	delete(c.calls, e.Call)
	delete(c.responses, e.Call)
	switch response.Status {
	case http.StatusOK:
		for i, id := range call.Messages {
			inBatch := len(response.States) > 0
			if !inBatch || i < len(response.States) && response.States[i] == model.StateAccepted {
				c.delivered(c.firsts[c.firstID[id]], e.Time)
			}
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.stats.RejectedCalls++
		add(&c.stats.series.rejectedCalls, c.second, 1)
	case 0, http.StatusInternalServerError:
		c.failedCalls(1)
	}
}

// delivered takes the delivery of a message; only its first one counts.
func (c *collector) delivered(f *first, at int64) {
	if f == nil || f.done {
		return
	}
	f.done = true
	c.stats.Delivered++
	took := at - f.due
	c.recordLatency(min(max(1, took), maxLatencyMicros))
	class := &c.classes[f.class]
	value := class.Value(time.Duration(took) * time.Microsecond)
	c.stats.Classes[class.Name] += value
	add(&c.stats.series.served, c.stats.series.secondOf(f.due), value)
}

func (c *collector) recordLatency(micros int64) {
	_ = c.latency.RecordValue(micros) // within its bounds
	bySecond := &c.stats.series.latency
	for len(*bySecond) <= c.second {
		*bySecond = append(*bySecond, nil)
	}
	if (*bySecond)[c.second] == nil {
		(*bySecond)[c.second] = hdrhistogram.New(1, maxLatencyMicros, 2)
	}
	_ = (*bySecond)[c.second].RecordValue(micros)
}

// sample takes what a relay's process uses.
func (c *collector) sample(e history.Event) {
	stats := c.stats
	stats.MaxRSS[e.Relay] = max(stats.MaxRSS[e.Relay], e.RSS)
	stats.MaxFDs[e.Relay] = max(stats.MaxFDs[e.Relay], e.FDs)
	used := float64(e.CPU) / 1e6
	stats.CPU[e.Relay] += used - c.cpu[e.PID]
	c.cpu[e.PID] = used
	stats.series.rss[e.Relay] = append(stats.series.rss[e.Relay], [2]float64{c.at, float64(e.RSS) / (1 << 20)})
	stats.series.fds[e.Relay] = append(stats.series.fds[e.Relay], [2]float64{c.at, float64(e.FDs)})
}

// fault takes the begin or end of a fault.
func (c *collector) fault(e history.Event) {
	s := &c.stats.series
	if e.Active {
		s.open[e.Text] = len(s.faults)
		s.faults = append(s.faults, shade{e.Text, c.at, -1})
	} else if i, ok := s.open[e.Text]; ok {
		s.faults[i].to = c.at
	}
}
