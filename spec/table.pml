/*
 * Changes of the table: a proposal in the store's log, acknowledged by every
 * listed instance, then committed by a conditional update, or refused.
 *
 * Three instances, any of which may be the proposer (two operators race
 * through instances 0 and 1). Instances may be cut off or paused: they just
 * take no step. Instance 2 may restart with nothing. Messages may be lost or
 * come late: telling an outcome is a step that may never be taken.
 *
 * One revision is decided. The bound of an acknowledged, undecided change is
 * the step "late": it comes at some time after the commit, for all instances,
 * since each acknowledged before the commit.
 *
 * Safety:
 *   once the bound has passed, no instance takes work by the old row;
 *   a committed revision is never left for an older one;
 *   the change is not both committed and refused, and only one proposal wins.
 *
 * Each define below removes one rule; the check must then fail:
 *   NO_ACKS       commit without waiting for all acknowledgements
 *   NO_BLOCK      an undecided change does not block its rows after the bound
 *   NO_CONDITION  a decision is written although one stands
 *   NO_CREATE     a proposal is written over another one
 *   TAKE_OLD      an instance takes an older revision from a peer's old copy
 *   START_BLIND   a restarted instance serves before it has read the log
 */
#define N 3

mtype = { EMPTY, PROPOSED, COMMITTED, REFUSED };

mtype entry = EMPTY;	/* the log entry of revision 1 */
byte owner = 9;		/* whose proposal it is */
bool acked[6];		/* acked[p, i]: i acknowledged p's proposal */
byte rev[N];		/* revision in force at the instance */
bool pending[N];	/* acknowledged and undecided */
bool up[N];		/* serves */
bool late = false;
bool wasCommitted = false;
byte seenRev[N];	/* highest revision that the instance ever served by */
byte told0 = 0;		/* what the proposers told their operators: 1 yes, 2 no */
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
	/* wait for all, or give up */
	if
#ifdef NO_ACKS
	:: atomic { DECIDABLE -> commit() }
#else
	:: atomic { ACK(p, 0) && ACK(p, 1) && ACK(p, 2) && DECIDABLE -> commit() }
#endif
	:: atomic { DECIDABLE -> abort() }
	:: atomic { !(DECIDABLE) -> skip }	/* another has decided */
	:: goto beaten				/* crash, or cut off */
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
	/* the outcome reaches it */
	:: atomic { up[i] && entry == COMMITTED && rev[i] == 0 -> rev[i] = 1; pending[i] = false }
	:: atomic { up[i] && entry == REFUSED && pending[i] -> pending[i] = false }
#ifdef TAKE_OLD
	:: atomic { up[i] && rev[i] == 1 -> rev[i] = 0 }
#endif
	/* work */
	:: atomic { up[i] && !(BLOCKED(i)) ->
		assert(!(late && wasCommitted && rev[i] == 0));
		assert(rev[i] >= seenRev[i]);
		seenRev[i] = rev[i] }
	/* a restart with nothing, then reading the log */
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

/* anybody refuses a proposal whose proposer is gone */
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
