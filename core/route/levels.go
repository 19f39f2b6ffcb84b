package route

import "anvilstand/core/model"

// Levels are the admission levels that calls met at services. The zero value
// knows none. It is not safe for concurrent use.
type Levels struct{ met map[model.Service]level }

// Note keeps the level that a call met at a service.
func (l *Levels) Note(now model.Instant, s model.Service, place model.Place) {
	if l.met == nil {
		l.met = map[model.Service]level{}
	}
	l.met[s] = level{place: place, told: now}
}

// Lowest returns the lowest level of the services, each of which opens with its
// age.
func (l *Levels) Lowest(now model.Instant) model.Place {
	lowest := model.Places
	for _, met := range l.met {
		lowest = min(lowest, met.at(now))
	}
	return lowest
}

// at returns the level as it has opened by now.
func (l level) at(now model.Instant) model.Place {
	old := now.Sub(l.told).Seconds() / LevelTime.Seconds()
	return model.Place(min(float64(model.Places), float64(l.place)+old*old*float64(model.Places)))
}
