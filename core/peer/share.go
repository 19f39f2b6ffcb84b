package peer

import "anvilstand/core/quota"

// Share carries a message about quota leases between two daemons.
type Share struct{ message quota.Message }

func (Share) isMessage() {}

// NewShare returns the control message that carries m.
func NewShare(m quota.Message) Share { return Share{message: m} }

// Message returns the message about quota leases.
func (m Share) Message() quota.Message { return m.message }
