/*
 * Changes of the table: a proposal is written to the store's log, acknowledged
 * by every listed instance, and then committed by a conditional update or refused.
 *
 * Three instances. Two operators race through instances 0 and 1 as proposers.
 * A partitioned or paused instance takes no step. Instance 2 may restart with
 * empty state. Messages may be lost or delayed: the delivery of an outcome is a
 * step that may never be taken.
 *
 * One revision is decided. The step "late" is the expiry of the time bound of an
 * acknowledged, undecided change. It happens at some time after the commit, for
 * all instances, since each acknowledged before the commit.
 *
 * Safety:
 *   after the bound has expired, no instance serves requests by the old row;
 *   an instance never goes back from a committed revision to an older one;
 *   the change is not both committed and refused, and only one proposal wins.
 *
 * Each define below removes one rule; the check must then fail:
 *   NO_ACKS       commit without waiting for all acknowledgements
 *   NO_BLOCK      an undecided change does not block its rows after the bound
 *   NO_CONDITION  a decision is written although one exists
 *   NO_CREATE     a proposal overwrites another one
 *   TAKE_OLD      an instance adopts an older revision from a peer's stale copy
 *   START_BLIND   a restarted instance serves before it has read the log
 */
#define N 3

mtype = { EMPTY, PROPOSED, COMMITTED, REFUSED };

mtype entry = EMPTY;	/* the log entry of revision 1 */
byte owner = 9;		/* the instance that proposed it */
bool acked[6];		/* acked[p, i]: i acknowledged p's proposal */
byte rev[N];		/* revision in force at the instance */
bool pending[N];	/* acknowledged, but undecided */
bool up[N];		/* the instance serves requests */
bool late = false;
bool wasCommitted = false;
byte seenRev[N];	/* highest revision that the instance has served by */
byte told0 = 0;		/* answers of the proposers to their operators: 1 yes, 2 no */
byte told1 = 0;

#define ACK(p, i) acked[(p) * N + (i)]
#ifdef NO_BLOCK
#define BLOCKED(i) false
#else
#define BLOCKED(i) (pending[i] && late)
#endif
#ifdef NO_CONDITION
#define DECIDABLE (entry != EMPTY)
#else
#define DECIDABLE (entry == PROPOSED)
#endif
#ifdef NO_CREATE
#define CREATABLE (entry == EMPTY || entry == PROPOSED)
#else
#define CREATABLE (entry == EMPTY)
#endif

inline commit() {
	assert(entry != REFUSED);
	entry = COMMITTED;
	wasCommitted = true
}

inline abort() {
	assert(entry != COMMITTED);
	entry = REFUSED
}

proctype proposer(byte p) {
	byte i;
	if
	:: atomic { CREATABLE -> entry = PROPOSED; owner = p }
	:: atomic { !(CREATABLE) -> skip }; goto beaten
	fi;
	atomic { pending[p] = (rev[p] == 0); ACK(p, p) = true };
	/* wait for all acknowledgements, or give up */
	if
#ifdef NO_ACKS
	:: atomic { DECIDABLE -> commit() }
#else
	:: atomic { ACK(p, 0) && ACK(p, 1) && ACK(p, 2) && DECIDABLE -> commit() }
#endif
	:: atomic { DECIDABLE -> abort() }
	:: atomic { !(DECIDABLE) -> skip }	/* another instance has decided */
	:: goto beaten				/* crash or partition */
	fi;
	atomic { assert(owner == p) };
beaten:	skip
}

proctype instance(byte i) {
	bool read;
	do
	/* a proposal reaches the instance, from its proposer or from the log */
	:: atomic { up[i] && entry == PROPOSED && rev[i] == 0 && !ACK(owner, i) ->
		pending[i] = true; ACK(owner, i) = true }
	/* the outcome reaches the instance */
	:: atomic { up[i] && entry == COMMITTED && rev[i] == 0 -> rev[i] = 1; pending[i] = false }
	:: atomic { up[i] && entry == REFUSED && pending[i] -> pending[i] = false }
#ifdef TAKE_OLD
	:: atomic { up[i] && rev[i] == 1 -> rev[i] = 0 }
#endif
	/* serve a request */
	:: atomic { up[i] && !(BLOCKED(i)) ->
		assert(!(late && wasCommitted && rev[i] == 0));
		assert(rev[i] >= seenRev[i]);
		seenRev[i] = rev[i] }
	/* a restart with empty state, then reading the log */
	:: atomic { i == 2 && up[i] -> up[i] = false; rev[i] = 0; pending[i] = false }
#ifdef START_BLIND
	:: atomic { !up[i] -> up[i] = true }
#else
	:: atomic { !up[i] ->
		up[i] = true;
		rev[i] = (entry == COMMITTED -> 1 : 0);
		pending[i] = (entry == PROPOSED) }
#endif
	od
}

/* any instance may refuse a proposal whose proposer is gone */
proctype janitor() {
	if
	:: atomic { DECIDABLE -> abort() }
	:: skip
	fi
}

proctype clock() {
	atomic { wasCommitted -> late = true }
}

init {
	atomic {
		up[0] = true;
		up[1] = true;
		up[2] = true;
		run instance(0);
		run instance(1);
		run instance(2);
		run proposer(0);
		run proposer(1);
		run janitor();
		run clock()
	}
}
