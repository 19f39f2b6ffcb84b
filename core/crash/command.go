package crash

import (
	"slices"

	"anvilstand/core/model"
)

// Accuse records a crash; a crash reported twice counts once. Without a suspect in
// flight, all requests in flight become suspects. With one, it is poison; with
// several, these stay suspects. The other suspects of the earlier crash are
// cleared.
func (b *Book) Accuse(now model.Instant, d Death) {
	b.expire(now)
	if len(d.prints) == 0 || len(d.prints) > MaxSuspects {
		return
	}
	var repeated []model.Print
	for _, p := range d.prints {
		s, ok := b.suspects[p]
		if ok && s.target == d.target && s.number == d.number {
			return
		}
		if ok && !slices.Contains(repeated, p) {
			repeated = append(repeated, p)
		}
	}
	if len(repeated) == 0 {
		b.addSuspects(now, d, d.prints)
		return
	}
	b.clear(b.suspects[repeated[0]])
	if len(repeated) > 1 {
		b.addSuspects(now, d, repeated)
		return
	}
	b.addPoison(now, repeated[0])
}

// Acquit clears a suspect that a target has served completely.
func (b *Book) Acquit(p model.Print) { delete(b.suspects, p) }

// addSuspects makes requests suspects of a crash. Those over maxEntries are left
// out.
func (b *Book) addSuspects(now model.Instant, d Death, prints []model.Print) {
	if b.suspects == nil {
		b.suspects = map[model.Print]suspicion{}
	}
	for _, p := range prints {
		if len(b.suspects) < maxEntries {
			b.suspects[p] = suspicion{target: d.target, number: d.number, expires: now.Add(SuspectTime)}
		}
	}
}

// addPoison marks a request as poison for PoisonTime, unless there are maxEntries
// already.
func (b *Book) addPoison(now model.Instant, p model.Print) {
	if b.poison == nil {
		b.poison = map[model.Print]model.Instant{}
	}
	if len(b.poison) < maxEntries {
		b.poison[p] = now.Add(PoisonTime)
	}
}

// clear clears the suspects of one crash.
func (b *Book) clear(s suspicion) {
	for p, other := range b.suspects {
		if other.target == s.target && other.number == s.number {
			delete(b.suspects, p)
		}
	}
}

// expire deletes suspects and poison requests whose time is over.
func (b *Book) expire(now model.Instant) {
	for p, s := range b.suspects {
		if !now.Before(s.expires) {
			delete(b.suspects, p)
		}
	}
	for p, until := range b.poison {
		if !now.Before(until) {
			delete(b.poison, p)
		}
	}
}

// Enter records a request as in flight, unless it must be refused: a poison request
// always, a suspect while another suspect runs. The error is a *model.Refusal.
func (w *Ward) Enter(id uint64, p model.Print, v Verdict) error {
	suspect := false
	switch v.(type) {
	case Clear:
	case Suspect:
		suspect = true
		if w.suspects() > 0 {
			return model.Refuse(model.QueueFull{}, SuspectRetryAfter)
		}
	case Poison:
		return model.Refuse(model.Poison{}, PoisonTime)
	}
	if w.running == nil {
		w.running = map[uint64]entry{}
	}
	w.running[id] = entry{print: p, suspect: suspect}
	return nil
}

// Leave removes a request that has ended.
func (w *Ward) Leave(id uint64) { delete(w.running, id) }

// Break records that the connection of a request broke, and returns the crash. It
// reports false if the request was in flight at the last crash: that crash broke
// this connection too.
func (w *Ward) Break(now model.Instant, target model.Instance, id uint64) (Death, bool) {
	if w.crashed[id] {
		return Death{}, false
	}
	w.crashed = map[uint64]bool{}
	for other := range w.running {
		w.crashed[other] = true
	}
	return NewDeath(target, uint64(now), w.prints()), true
}
