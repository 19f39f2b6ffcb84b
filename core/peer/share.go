package peer

import "anvilstand/core/share"

// Share carries a message between the desks of two daemons.
type Share struct{ message share.Message }

func (Share) isMessage() {}

// NewShare returns the message of a desk.
func NewShare(m share.Message) Share { return Share{message: m} }

// Message returns the message of the desk.
func (s Share) Message() share.Message { return s.message }
