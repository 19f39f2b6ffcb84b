package peer

import "anvilstand/core/share"

// Share carries a message about quota leases between two daemons.
type Share struct{ message share.Message }

func (Share) isMessage() {}

// NewShare returns the control message that carries m.
func NewShare(m share.Message) Share { return Share{message: m} }

// Message returns the message about quota leases.
func (m Share) Message() share.Message { return m.message }
