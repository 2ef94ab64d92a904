package policy

import "math"

// minRefillRate is a lower bound on the rate in tokens a second, which keeps the time to the next
// token finite.
const minRefillRate = 1e-6

// tokenBucket is a token bucket. The caller passes its rate, in tokens a second, and its size with
// each call. The zero value starts full; with refilledAt set, it starts empty and fills from that
// time on.
type tokenBucket struct {
	refilledAt Time
	tokens     float64
	isStarted  bool
}

// level refills the bucket and returns the number of its tokens.
func (b *tokenBucket) level(now Time, rate, size float64) float64 {
	if !b.isStarted && b.refilledAt == 0 {
		b.tokens = size
	} else if now > b.refilledAt {
		b.tokens += rate * float64(now-b.refilledAt) / 1e6
	}
	b.tokens, b.refilledAt, b.isStarted = min(b.tokens, size), max(b.refilledAt, now), true
	return b.tokens
}

// take spends tokens if the bucket has them.
func (b *tokenBucket) take(now Time, tokens, rate, size float64) bool {
	if b.level(now, rate, size) < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// availableAt is when the bucket will hold the given number of tokens.
func (b *tokenBucket) availableAt(now Time, tokens, rate, size float64) Time {
	level := b.level(now, rate, size)
	if level >= tokens {
		return now
	}
	return b.refilledAt + Time(math.Ceil((tokens-level)/max(rate, minRefillRate)*1e6)) + 1
}
