package peer

import "anvilstand/core/quota"

// Quota carries a message about quota leases between two daemons.
type Quota struct{ message quota.Message }

func (Quota) isMessage() {}

// NewQuota returns the control message that carries m.
func NewQuota(m quota.Message) Quota { return Quota{message: m} }

// Message returns the message about quota leases.
func (m Quota) Message() quota.Message { return m.message }
