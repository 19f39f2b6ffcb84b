package quota

import (
	"time"

	"anvilstand/core/model"
)

// rebuildTime is how long after a restore of the store no lease is claimed or moved, so
// that the leases that the copy lacks are written again before their weight can be given
// to others. A holder learns of the restore by its next call of the store, within 2.4 s,
// or by a heartbeat, and then makes a read and a write.
const rebuildTime = 4 * time.Second

// NoteRestore records that the store was restored from an older copy and is in a new era.
// Leases stay in force; the records are read and, where the store's are older, written
// again.
func (mgr *Manager) NoteRestore(now model.Instant, era uint64) {
	if era <= mgr.restoredEra {
		return
	}
	mgr.restoredEra, mgr.rebuildUntil = era, now.Add(rebuildTime)
	for _, q := range mgr.quotas {
		q.nextCall = min(q.nextCall, now.Add(mgr.jitter(meanStoreRetry)))
		q.mayBeLost = true
	}
}

// isOfCopy reports whether the record was written before the store was last restored. Later
// writes may be lost, by which tokens that it shows as unspent were given to holders.
func (q *orgQuota) isOfCopy() bool {
	return model.EraOf(q.record.serial) < model.EraOf(q.version)
}

// neverHeld returns the weight whose part of the burst is certain to be unspent.
func (q *orgQuota) neverHeld() int {
	switch isMissing := model.RevisionOf(q.version) == 0; {
	case isMissing && q.mayBeLost, !isMissing && q.isOfCopy():
		return 0
	case isMissing:
		return FullWeight
	}
	return q.record.neverHeld
}

// keepsNewer reports whether a record from the store is older than the one known, because
// the store was restored from a copy. The known one is then kept, to be written again.
func (mgr *Manager) keepsNewer(now model.Instant, q *orgQuota, version uint64, r Record) bool {
	era := model.EraOf(version)
	if !q.known || era <= model.EraOf(q.version) {
		return false
	}
	mgr.NoteRestore(now, era)
	if q.record.serial <= r.serial {
		return false
	}
	q.rebuildOver = max(q.rebuildOver, version)
	return true
}

// rebuild reads a record that is known from before a restore, and writes it again if the
// store's is older. It reports whether one of these is due. The serial stays the same:
// another daemon that knows a later record writes that over this one.
func (mgr *Manager) rebuild(now model.Instant, q *orgQuota, out *Outbox) bool {
	if q.rebuildOver > 0 {
		mgr.op++
		q.call = storeCall{op: mgr.op, sentAt: now, record: q.record}
		out.add(Swap{org: q.org, op: mgr.op, version: q.rebuildOver, record: q.record})
		return true
	}
	if model.EraOf(q.version) >= mgr.restoredEra {
		return false
	}
	if q.held != nil || q.memberIndex < maxCandidates {
		mgr.read(now, q, out)
		q.nextCall = now.Add(mgr.jitter(meanStoreRetry))
	}
	return true
}
