/*
 * Claims and bills of one not-repeatable request in one ledger shard.
 *
 * Three routers. Each may act as the owner of the shard, possibly at the same
 * time as others. Each may be paused between any two steps, which includes a
 * paused owner that resumes. The caller sends the request to router 0 and
 * retries at routers 1 and 2, regardless of the outcome of earlier tries.
 * Answers of the store may be lost, and a write whose answer was lost may be
 * applied later. Routers may crash.
 *
 * The log is a list of entries. A writer has read the log up to its position and
 * appends an entry only if the log has not grown since. Entries: CLAIM by a router,
 * BILL of a router's run, UNDO of a claim that did not run.
 *
 * Safety:
 *   the request runs at most once;
 *   it is billed at most once;
 *   a try that was answered with "not run" never runs.
 *
 * Each define below removes one rule; the check must then fail:
 *   NO_CONDITION   a write does not check that the log has not grown
 *   NO_COMMIT      the request is dispatched before its claim is committed
 *   LOST_IS_DONE   a lost answer is treated as a success
 *   LOST_IS_FREE   after a lost answer the router reports "not run" but uses the claim
 *   NO_REPLAY      a router that finds the log has grown decides without reading it
 *   TAKE_OVER      a claim of another router may be taken over
 *   BILL_AGAIN     a bill whose answer was lost is written again without reading the log
 */
#define N 3
#define MAXLOG 6
#define NONE 9

mtype = { CLAIM, BILL, UNDO };

mtype kind[MAXLOG];
byte who[MAXLOG];
byte size = 0;

byte runs = 0;
byte bills = 0;		/* bill entries for the request */
bool ran[N];
bool toldNotRun[N];

#ifdef NO_CONDITION
#define FREE(p) true
#else
#define FREE(p) ((p) == size)
#endif

inline put(k, w) {
	/* the store applies the write */
	kind[size] = k;
	who[size] = w;
	size++;
	if
	:: k == BILL -> bills++; assert(bills <= 1)
	:: else
	fi
}

inline read() {
	/* read the log from the position to its end */
	do
	:: pos < size ->
		if
		:: kind[pos] == CLAIM && holder == NONE -> holder = who[pos]
		:: kind[pos] == UNDO && holder == who[pos] -> holder = NONE
		:: kind[pos] == BILL -> billed = true
		:: else
		fi;
		pos++
	:: else -> break
	od
}

inline dispatch() {
	atomic {
		runs++;
		ran[id] = true;
		assert(runs <= 1);
		assert(!toldNotRun[id])
	}
}

inline refuse() {
	atomic {
		toldNotRun[id] = true;
		assert(!ran[id])
	}
}

proctype router(byte id) {
	byte pos = 0;
	byte holder = NONE;
	bool billed = false;
	bool late = false;	/* a write of this router may still be applied */
	byte latepos = 0;

	/* read the log, then try to claim */
again:	atomic { read() };
#ifdef TAKE_OVER
	if
	:: billed -> goto refused
	:: else
	fi;
#else
	if
	:: billed || (holder != NONE && holder != id) -> goto refused
	:: else
	fi;
#endif
	if
	:: holder == id -> goto claimed
	:: else
	fi;
#ifdef NO_COMMIT
	goto claimed;
#endif
	if
	:: size >= MAXLOG -> goto refused
	:: else
	fi;
	if
	:: atomic { FREE(pos) && size < MAXLOG -> put(CLAIM, id) } ;
		if
		:: goto claimed			/* the answer arrived */
		:: goto lost			/* the answer was lost */
		:: goto ended			/* crash */
		fi
	:: atomic { !(FREE(pos)) ->
#ifdef NO_REPLAY
			pos = size
#else
			skip
#endif
		};
		goto again
	:: latepos = pos; late = true; goto lost	/* the answer is lost, and the write not yet applied */
	fi;

lost:
#ifdef LOST_IS_DONE
	goto claimed;
#endif
	if
	:: goto again			/* read the log to learn the result */
	:: goto withdraw		/* the store does not answer: report "not run" */
	fi;

withdraw:
	refuse();
#ifdef LOST_IS_FREE
	goto claimed;
#endif
	atomic { read() };
	if
	:: atomic { holder == id && FREE(pos) && size < MAXLOG -> put(UNDO, id) }
	:: skip
	fi;
	goto late_arrival;

claimed:
	if
	:: dispatch()
	:: goto ended			/* crash before the dispatch */
	fi;

bill:	atomic { read() };
	if
	:: billed -> goto late_arrival
	:: else
	fi;
	if
	:: atomic { FREE(pos) && size < MAXLOG -> put(BILL, id) };
		if
		:: goto late_arrival	/* the answer arrived */
#ifdef BILL_AGAIN
		:: atomic { size < MAXLOG -> pos = size; put(BILL, id) }; goto late_arrival
#else
		:: goto bill		/* the answer was lost: read the log to learn the result */
#endif
		:: goto ended
		fi
	:: atomic { !(FREE(pos)) -> skip }; goto bill
	:: size >= MAXLOG -> goto ended
	:: goto ended			/* crash before the bill */
	fi;

refused:
	refuse();

late_arrival:
	/* the store applies a write whose answer was lost */
	if
	:: atomic { late && latepos == size && size < MAXLOG -> put(CLAIM, id) }
	:: skip
	fi;
ended:	skip
}

init {
	atomic {
		run router(0);
		run router(1);
		run router(2)
	}
}
