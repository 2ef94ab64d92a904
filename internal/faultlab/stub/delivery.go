package stub

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"plovershore/internal/discovery"
)

const (
	maxAttempts           = 12
	nonIdempotent         = "copy-order" // class of messages that must not run twice
	retryDelay            = 100 * time.Millisecond
	noEndpointDelay       = 100 * time.Millisecond
	attemptMargin         = 150 * time.Millisecond // no attempt begins later than this before the deadline
	latenessAfterDeadline = time.Second            // delay past the deadline with the defect Late
	afterEndDelay         = 200 * time.Millisecond // time between the final response and the first attempt with the defect AfterEnd
	maxNoticeAttempts     = 50
	noticeBackoff         = 50 * time.Millisecond
)

// deliver attempts to deliver a message and sends a notice if it could not.
func (r *relay) deliver(m *message) {
	if r.affects(AfterEnd, m) {
		r.notify(m, discovery.Returned)
		time.Sleep(afterEndDelay)
	}
	result := r.attempt(m)
	if result == delivered {
		return
	}
	if r.defect == Late && result != unknownOutcome {
		time.Sleep(time.Until(m.deadline) + latenessAfterDeadline)
	}
	if result == unknownOutcome && r.defect != ReturnUnsafe {
		r.notify(m, discovery.Failed)
	} else {
		r.notify(m, discovery.Returned)
	}
}

// deliveryResult is the result of all attempts of a message.
type deliveryResult int

const (
	notDelivered   deliveryResult = iota
	delivered                     // or expired at its endpoint, which needs no notice either
	unknownOutcome                // a non-idempotent message may have run, so it is not sent again
)

// attempt calls endpoints until the message is delivered, must not be sent again, or has
// no time or no attempts left.
func (r *relay) attempt(m *message) deliveryResult {
	for attempts := 0; time.Until(m.deadline) > attemptMargin; {
		target, wait, ok := r.pickEndpoint(m)
		if !ok {
			left := time.Until(m.deadline) - attemptMargin + 10*time.Millisecond
			time.Sleep(min(wait+time.Millisecond, max(0, left)))
			continue
		}
		if attempts++; attempts > maxAttempts && r.defect != Thirteen {
			break
		}
		if r.affects(SecondCopy, m) && m.class != nonIdempotent {
			start(&r.deliveries, func() { r.call(m, target) })
		}
		result := r.call(m, target)
		switch {
		case result.notSent:
			attempts--
			continue
		case result.completed:
			if r.affects(Repeat, m) && m.class == nonIdempotent {
				r.call(m, target)
			}
			return delivered
		case result.mayHaveRun && m.class == nonIdempotent:
			return unknownOutcome
		}
		if r.defect != Topple {
			time.Sleep(retryDelay)
		}
	}
	return notDelivered
}

// pickEndpoint picks a random endpoint that may be called for a message. If there is none
// now, ok is false and wait is the time after which to try again.
func (r *relay) pickEndpoint(m *message) (target endpoint, wait time.Duration, ok bool) {
	if wait := r.waits.remaining(m.destination); wait > 0 && r.defect != IgnoreWait {
		return endpoint{}, wait, false
	}
	wrongPlace := r.affects(WrongPlace, m)
	target, ok = r.endpoints.pick(func(e endpoint) bool {
		return (e.Destination == m.destination) != wrongPlace && (e.Phase == discovery.Up || r.defect == IgnoreDrain)
	})
	return target, noEndpointDelay, ok
}

// notify posts the notice of a message's outcome until discovery answers, or
// maxNoticeAttempts times at most.
func (r *relay) notify(m *message, outcome string) {
	text := fmt.Sprintf("{\"message\":%q,\"outcome\":%q}\n", m.id, outcome)
	for range maxNoticeAttempts {
		resp, err := http.Post("http://"+*r.discovery.Load()+discovery.NoticePath, "application/json", strings.NewReader(text))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(noticeBackoff)
	}
}
