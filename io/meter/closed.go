package meter

// CountClosed counts a head that a listener refused or a connection that it closed, by
// the reason.
func (m *Meter) CountClosed(listener, reason string) {
	m.closed.WithLabelValues(listener, reason).Inc()
}
