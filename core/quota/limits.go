package quota

import "time"

// Times and bounds of a Manager.
const (
	// answerTimeout is how long an answer may take before another holder is
	// asked.
	answerTimeout = 100 * time.Millisecond
	// onDemandAnswerTimeout is the same for on-demand asks, since requests wait
	// for the answer.
	onDemandAnswerTimeout = 25 * time.Millisecond
	// avoidanceTime is how long a holder that did not answer is asked only as a
	// last resort. It doubles with each further unanswered ask, at most
	// maxAvoidanceDoublings times. It is also how long after a refill the
	// organisation's requests count as needing tokens.
	avoidanceTime         = time.Second
	maxAvoidanceDoublings = 3
	// storeCallTimeout is how long a store call may take before it is given up.
	storeCallTimeout = 10 * time.Second
	// meanStoreRetry is the mean delay before a store call for the same record
	// is retried.
	meanStoreRetry = 300 * time.Millisecond
	// maxStoreRetryDoublings is how often that delay doubles while the store
	// does not answer.
	maxStoreRetryDoublings = 2
	// candidateStep is how much later each further candidate claims a lease.
	candidateStep = 700 * time.Millisecond
	// successorHeadStart is how much later than the process at the address of a holder
	// that ended others take its lease over: the time of a read, a write and a message.
	// When all daemons restart at once each finds the others ended and itself the first
	// candidate, so they wait for rankStep after each other too, at most maxRank times.
	successorHeadStart = 100 * time.Millisecond
	rankStep           = 30 * time.Millisecond
	maxRank            = 10
	// takeOverStep is how much later each further domain takes over a lease whose holder
	// has ended, since a swap of one makes that of another fail which is sent before the
	// record of the first has arrived. After maxTakeOverSteps it is not lengthened.
	takeOverStep     = 20 * time.Millisecond
	maxTakeOverSteps = 5
	// updateWait is how long a daemon whose swap failed waits for the record from the
	// one that won, before it reads the record from the store.
	updateWait = 30 * time.Millisecond
	// domainsStableTime is how long the set of domains must be unchanged before
	// weight is claimed or moved.
	domainsStableTime = 200 * time.Millisecond
	// pollInterval is how often a daemon that may take a lease over checks that a holder
	// which it does not hear from is alive. Once that has been silent for silentAfter, it
	// checks every silentPollInterval, and minUnanswered checks without an answer are
	// needed for a challenge.
	pollInterval       = 2 * time.Second
	silentAfter        = 3 * time.Second
	silentPollInterval = 500 * time.Millisecond
	minUnanswered      = 2
	// challengeReadInterval is the mean time between two reads of the record by
	// a candidate that waits for a holder to remove a challenge.
	challengeReadInterval = 2 * time.Second
	// idleReadInterval is the same while the domain needs no lease. It comes to
	// need one when another domain disappears, which the other holders notice.
	idleReadInterval = time.Minute
	// membersStableTime is how long the domain's members must be unchanged
	// before an unknown record is read or a new lease is claimed, and
	// maxMembersStableWait bounds that wait after the start. Members that start
	// together learn of each other in that time, and only the candidates among
	// them call the store.
	membersStableTime    = 700 * time.Millisecond
	maxMembersStableWait = 2500 * time.Millisecond
	// maxListingWait is how long after its start a daemon that is not in its domain's
	// member list claims no new lease. Those that start together are listed by then.
	maxListingWait = 700 * time.Millisecond
	// domainStep is how much later each further domain reads an unknown record
	// and claims a first lease, so that one domain writes the record and the
	// others receive it.
	domainStep = 100 * time.Millisecond
	// maxCandidates is how many daemons of a failure domain are candidates for
	// its lease: they check that the holder is alive and take the lease over.
	// Other daemons claim it only while their own requests need tokens.
	maxCandidates = 3
	// minLeaseBurst is the smallest burst, in tokens, that a lease is created
	// for.
	minLeaseBurst = 4
	// maxEnded is how many ended processes are kept before those that no lease
	// and no member refers to are dropped.
	maxEnded = 1024
	// renewalsPerTTL is how often in the lifetime of a lease its holder reads
	// the record.
	renewalsPerTTL = 6
)
