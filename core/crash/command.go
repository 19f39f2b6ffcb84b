package crash

import (
	"slices"

	"anvilstand/core/model"
)

// Accuse takes a death. Without a suspect among what was in flight, all of it
// becomes suspect. With one, that one is convicted; with several, they stay
// suspects. The other suspects of the earlier death are cleared.
func (b *Book) Accuse(now model.Instant, d Death) {
	b.expire(now)
	if len(d.prints) == 0 || len(d.prints) > MaxPrints {
		return
	}
	var again []model.Print
	for _, p := range d.prints {
		s, ok := b.suspects[p]
		if ok && s.target == d.target && s.number == d.number {
			return
		}
		if ok && !slices.Contains(again, p) {
			again = append(again, p)
		}
	}
	if len(again) == 0 {
		b.suspect(now, d, d.prints)
		return
	}
	b.clear(b.suspects[again[0]])
	if len(again) > 1 {
		b.suspect(now, d, again)
		return
	}
	b.convict(now, again[0])
}

// Acquit clears a suspect that a target has served whole.
func (b *Book) Acquit(p model.Print) { delete(b.suspects, p) }

func (b *Book) suspect(now model.Instant, d Death, prints []model.Print) {
	if b.suspects == nil {
		b.suspects = map[model.Print]suspicion{}
	}
	for _, p := range prints {
		if len(b.suspects) < maxEntries {
			b.suspects[p] = suspicion{target: d.target, number: d.number, until: now.Add(SuspectTime)}
		}
	}
}

func (b *Book) convict(now model.Instant, p model.Print) {
	if b.convicts == nil {
		b.convicts = map[model.Print]model.Instant{}
	}
	if len(b.convicts) < maxEntries {
		b.convicts[p] = now.Add(ConvictTime)
	}
}

// clear drops the suspects of one death.
func (b *Book) clear(s suspicion) {
	for p, other := range b.suspects {
		if other.target == s.target && other.number == s.number {
			delete(b.suspects, p)
		}
	}
}

func (b *Book) expire(now model.Instant) {
	for p, s := range b.suspects {
		if !now.Before(s.until) {
			delete(b.suspects, p)
		}
	}
	for p, until := range b.convicts {
		if !now.Before(until) {
			delete(b.convicts, p)
		}
	}
}

// Enter lets a request run at the target, or refuses it by a *model.Refusal: a
// convict always, a suspect while another one runs.
func (w *Ward) Enter(id uint64, p model.Print, v Verdict) error {
	suspect := false
	switch v.(type) {
	case Clear:
	case Suspect:
		suspect = true
		if w.suspects() > 0 {
			return model.Refuse(model.QueueFull{}, SuspectWait)
		}
	case Convict:
		return model.Refuse(model.Poison{}, ConvictTime)
	}
	if w.running == nil {
		w.running = map[uint64]entry{}
	}
	w.running[id] = entry{mark: p, suspect: suspect}
	return nil
}

// Leave ends a request.
func (w *Ward) Leave(id uint64) { delete(w.running, id) }

// Break notes that the connection of a request broke. It is a death, unless the
// request already ran when the last one was noted: then it belongs to that one.
func (w *Ward) Break(now model.Instant, target model.Instance, id uint64) (Death, bool) {
	if w.lost[id] {
		return Death{}, false
	}
	w.lost = map[uint64]bool{}
	for other := range w.running {
		w.lost[other] = true
	}
	return NewDeath(target, uint64(now), w.prints()), true
}
