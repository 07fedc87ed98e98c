/*
 * Budgets: issuing tokens from the store, transferring them between routers,
 * dispatching with a witness, and reclaiming the tokens of a router that has
 * been declared dead. That router may be dead, paused or partitioned: it takes
 * no step, or takes one at any later time.
 *
 * Three routers. Router 0 may be fenced at any time. Router 1 reclaims.
 * Router 2 may crash when CRASH2 is defined. One token is one request.
 * A lost answer is modeled as a step between a write and the router's learning
 * its result.
 *
 * Safety: the tokens served never exceed the limit.
 *
 * Each define below removes one rule; the check must then fail:
 *   NO_CONDITION    a draw does not check the limit it writes against
 *   NO_CUMULATIVE   a transferred token is added again when a message is repeated
 *   GIVE_LATE       the sender's balance is not reduced when the message is sent
 *   NO_OP_NUMBER    a return whose answer was lost is written again
 *   NO_WITNESS      a request is dispatched without recording its claim at a witness
 *   NO_REFUSE       live routers still accept claims and tokens of the fenced router
 *   NO_BARRIER      witnesses do not commit their claims before the balances are counted
 *   NO_TRANSIT      tokens in transit between live routers are not counted
 *   BAD_ORDER       charges are read before the balances
 *   NO_VERSION      the reclaim is written although the page has changed
 *   NO_PAGE_FENCE   a fenced router may still return tokens to the store
 *   SETTLE_FIRST    a reservation is settled before its bill is recorded
 *   TWO_DEAD        the reclaim continues although a witness has crashed too
 */
#define N 3
#define LIMIT 1	/* plus one token of a possible top-up */
#define AT(a, b) ((a) * N + (b))

byte limit = LIMIT;
byte issued = 0;
bool changed = false;	/* the page was written since the reclaimer read it */
byte bal[N];		/* free */
byte res[N];		/* reserved by a running request */
byte drawn[N];		/* drawn from the store, not yet known to the router */
byte back[N];		/* being returned to the store */
byte sent[9];
byte seen[9];
byte wit[9];		/* wit[y, x]: claims of router x in the memory of witness y */
byte open[N];		/* claims in the log without a bill */
byte claimed[N];	/* claimed, not yet sent to a backend server */
byte running[N];	/* sent, not yet billed */
byte billed[N];		/* billed, not yet settled */
byte charged = 0;	/* tokens charged in the log */
byte served = 0;
bool dead2 = false;
bool refuse[N];
bool logfence = false;
bool pagefence = false;
byte returns = 0;

/* Bounds of the model: only routers 0 and 1 access the store, with one return in
 * total; tokens are transferred from 0 to 1 and 2, and between 1 and 2, once in
 * each direction. */
#define BANKS(i) ((i) < 2)
#define MOVES(i, o) ((i) != (o) && (o) != 0)

#define OK assert(served <= limit)
#define LIVE(i) ((i) != 2 || !dead2)

#ifdef NO_CONDITION
#define MAY_DRAW (issued <= limit)
#else
#define MAY_DRAW (issued < limit)
#endif
#ifdef NO_PAGE_FENCE
#define VOID(i) false
#else
#define VOID(i) ((i) == 0 && pagefence)
#endif
#ifdef NO_REFUSE
#define REFUSED(x, y) false
#else
#define REFUSED(x, y) ((x) == 0 && refuse[y])
#endif
#ifdef NO_VERSION
#define UNCHANGED true
#else
#define UNCHANGED (!changed)
#endif

inline flush(y) {
	/* witness y commits all claims in its memory */
	charged = charged + (logfence -> wit[AT(y, 0)] : 0);
	open[0] = open[0] + (logfence -> 0 : wit[AT(y, 0)]);
	open[1] = open[1] + wit[AT(y, 1)];
	open[2] = open[2] + wit[AT(y, 2)];
	wit[AT(y, 0)] = 0;
	wit[AT(y, 1)] = 0;
	wit[AT(y, 2)] = 0
}

inline unclaim(x) {
	/* the bill replaces the claim */
	if
	:: x == 0 && logfence -> skip /* already charged by the fence */
	:: else ->
		charged++;
		if
		:: open[x] > 0 -> open[x]--
		:: else ->
			if
			:: wit[AT(0, x)] > 0 -> wit[AT(0, x)]--
			:: wit[AT(1, x)] > 0 -> wit[AT(1, x)]--
			:: wit[AT(2, x)] > 0 -> wit[AT(2, x)]--
			:: else -> skip
			fi
		fi
	fi
}

#ifdef NO_CUMULATIVE
#define CAN_TAKE(o, i) (sent[AT(o, i)] > 0 && seen[AT(o, i)] < 2 && !REFUSED(o, i))
#else
#define CAN_TAKE(o, i) (seen[AT(o, i)] < sent[AT(o, i)] && !REFUSED(o, i))
#endif

inline give(i, o) {
	sent[AT(i, o)]++;
#ifndef GIVE_LATE
	bal[i]--
#endif
}

inline take(o, i) {
	seen[AT(o, i)]++;
	bal[i]++
}

inline claim(i, y) {
#ifndef NO_WITNESS
	wit[AT(y, i)]++;
#endif
	bal[i]--;
	res[i]++;
	claimed[i]++
}

proctype router(byte id) {
	do
	:: atomic { LIVE(id) && BANKS(id) && !VOID(id) && drawn[id] == 0 && MAY_DRAW ->
		issued++; drawn[id] = 1; changed = true }
	:: atomic { LIVE(id) && drawn[id] > 0 -> bal[id]++; drawn[id] = 0 }

	:: atomic { LIVE(id) && BANKS(id) && bal[id] > 0 && back[id] == 0 && returns == 0 ->
		bal[id]--; back[id] = 1; returns = 1 }
	:: atomic { LIVE(id) && back[id] == 1 && !VOID(id) ->
		issued--; changed = true; back[id] = 2 }
#ifdef NO_OP_NUMBER
	:: atomic { LIVE(id) && back[id] == 2 && issued > 0 -> back[id] = 1 }
#endif
	:: atomic { LIVE(id) && back[id] == 2 -> back[id] = 0 }

	:: atomic { LIVE(id) && bal[id] > 0 && MOVES(id, 1) && sent[AT(id, 1)] == 0 -> give(id, 1) }
	:: atomic { LIVE(id) && bal[id] > 0 && MOVES(id, 2) && sent[AT(id, 2)] == 0 -> give(id, 2) }
	:: atomic { LIVE(id) && MOVES(0, id) && CAN_TAKE(0, id) -> take(0, id) }
	:: atomic { LIVE(id) && MOVES(1, id) && CAN_TAKE(1, id) -> take(1, id) }
	:: atomic { LIVE(id) && MOVES(2, id) && CAN_TAKE(2, id) -> take(2, id) }

	:: atomic { LIVE(id) && bal[id] > 0 && id != 0 -> claim(id, 0) }
	:: atomic { LIVE(id) && bal[id] > 0 && id != 1 && !REFUSED(id, 1) -> claim(id, 1) }
	:: atomic { LIVE(id) && bal[id] > 0 && id != 2 && LIVE(2) && !REFUSED(id, 2) -> claim(id, 2) }
	:: atomic { LIVE(id) && claimed[id] > 0 ->
		claimed[id]--; running[id]++; served++; OK }
#ifdef SETTLE_FIRST
	:: atomic { LIVE(id) && running[id] > 0 && res[id] > 0 -> running[id]--; res[id]--; billed[id]++ }
	:: atomic { LIVE(id) && billed[id] > 0 -> unclaim(id); billed[id]-- }
#else
	:: atomic { LIVE(id) && running[id] > 0 -> unclaim(id); running[id]--; billed[id]++ }
	:: atomic { LIVE(id) && billed[id] > 0 -> billed[id]--; res[id]-- }
#endif
	:: atomic { LIVE(id) && wit[AT(id, 0)] + wit[AT(id, 1)] + wit[AT(id, 2)] > 0 -> flush(id) }
	od
}

#define HELD(i) (bal[i] + res[i] + drawn[i] + (back[i] > 0))

proctype reclaimer() {
	short left;
	byte c;
	byte s12, s21, r12, r21;
	/* the barrier, at one live router after the other */
	atomic { refuse[1] = true;
#ifndef NO_BARRIER
		flush(1)
#endif
	};
#ifdef TWO_DEAD
	atomic { refuse[2] = true; if :: LIVE(2) -> flush(2) :: else fi };
#else
	atomic { LIVE(2) -> refuse[2] = true;
#ifndef NO_BARRIER
		flush(2)
#endif
	};
#endif
	/* the fence in the log */
	atomic { charged = charged + open[0]; open[0] = 0; logfence = true };
	/* the reads, each a separate step */
	atomic { left = issued; changed = false };
#ifdef BAD_ORDER
	c = charged;
#endif
	atomic { left = left - HELD(1); s12 = sent[AT(1, 2)]; r21 = seen[AT(2, 1)] };
#ifdef TWO_DEAD
	atomic { if :: LIVE(2) -> left = left - HELD(2); s21 = sent[AT(2, 1)]; r12 = seen[AT(1, 2)] :: else fi };
#else
	atomic { LIVE(2) -> left = left - HELD(2); s21 = sent[AT(2, 1)]; r12 = seen[AT(1, 2)] };
#endif
#ifndef BAD_ORDER
	c = charged;
#endif
	atomic {
		left = left - c;
#ifndef NO_TRANSIT
		left = left - (s12 > r12 -> s12 - r12 : 0);
		left = left - (s21 > r21 -> s21 - r21 : 0);
#endif
		if
		:: left > 0 && UNCHANGED ->
			issued = (issued > left -> issued - left : 0); pagefence = true
		:: else
		fi;
		left = 0; c = 0; s12 = 0; s21 = 0; r12 = 0; r21 = 0
	}
}

init {
	atomic { run router(0); run router(1); run router(2) };
	if
	:: limit++
	:: skip
	fi;
#if defined(CRASH2) || defined(TWO_DEAD)
	if
	:: atomic { dead2 = true }
	:: skip
	fi;
#endif
	run reclaimer()
}
