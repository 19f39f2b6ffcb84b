package route

import "anvilstand/core/model"

// LevelCache holds the admission level that each called service reported last.
// The zero value has none. It is not safe for concurrent use.
type LevelCache struct{ levels map[model.Service]level }

// Update records the level that a service reported to a call.
func (l *LevelCache) Update(now model.Instant, s model.Service, position model.Position) {
	if l.levels == nil {
		l.levels = map[model.Service]level{}
	}
	l.levels[s] = level{position: position, reported: now}
}

// Lowest returns the lowest level of all services, or, when none is cached, the
// level that admits every request. Levels rise with their age.
func (l *LevelCache) Lowest(now model.Instant) model.Position {
	lowest := model.PositionCount
	for _, reported := range l.levels {
		lowest = min(lowest, reported.at(now))
	}
	return lowest
}

// at returns the level at an instant. It rises with the square of its age, until
// it admits every request at LevelExpiry.
func (l level) at(now model.Instant) model.Position {
	age := now.Sub(l.reported).Seconds() / LevelExpiry.Seconds()
	return model.Position(min(float64(model.PositionCount), float64(l.position)+age*age*float64(model.PositionCount)))
}
