package fairshare

import "time"

// BurstTime is how long a team may save up the jobs that it does not hand in. Clients that
// connect again together hand in the work of a few seconds at once.
const BurstTime = 3 * time.Second

// Bucket is the token bucket of one team: each job takes a token, and the bucket holds at most
// those of [BurstTime], but at least one. The zero Bucket is full.
type Bucket struct {
	tokens   float64
	filledAt time.Time
}

// Take takes a token and reports whether there was one. perSecond is the rate at which the
// bucket is filled, in tokens a second. A time before an earlier one counts as the same time.
func (b *Bucket) Take(perSecond float64, now time.Time) bool {
	size := max(perSecond*BurstTime.Seconds(), 1)
	switch {
	case b.filledAt.IsZero():
		b.tokens, b.filledAt = size, now
	case now.After(b.filledAt):
		b.tokens += perSecond * now.Sub(b.filledAt).Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, size)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
