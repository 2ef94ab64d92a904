package policy

import "math"

// minRefillRate keeps the time to the next token finite, in tokens a second.
const minRefillRate = 1e-6

// tokenBucket is a token bucket whose rate, in tokens a second, and size the caller gives each
// time. The zero value starts full; with refilledAt set it starts empty and fills from that moment
// on.
type tokenBucket struct {
	refilledAt Time
	tokens     float64
	isStarted  bool
}

// level refills the bucket and gives its tokens.
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

// availableAt is the moment at which the bucket holds so many tokens.
func (b *tokenBucket) availableAt(now Time, tokens, rate, size float64) Time {
	level := b.level(now, rate, size)
	if level >= tokens {
		return now
	}
	return b.refilledAt + Time(math.Ceil((tokens-level)/max(rate, minRefillRate)*1e6)) + 1
}
