/*
 * Release: the tokens of a router, most of them in escrow in the page, leave it in every way that
 * there is: to its own requests, in messages to another router, and back to the store by a write of
 * the page. A message may be lost, or be reported as undelivered. A write may land after its process
 * has ended, and its answer may come late. The process may end at any time; a successor reclaims what
 * the schedule had not released when it started, by a write, and may itself end before that.
 *
 * The schedule releases one token per tick. Clocks are exact: escrow.pml has those that are not.
 *
 * Safety: the tokens used, held by the other router or under way never exceed those issued.
 *
 * Each define below removes one rule; the check must then fail:
 *   SEND_ESCROW   messages carry tokens that are in escrow
 *   USE_ESCROW    requests use tokens that are in escrow
 *   IGNORE_OLD    the escrow of a write counts as the only one before its answer
 *   IGNORE_NEW    the escrow of a write counts only after its answer
 *   RETURN_FREE   a return counts as taken from the escrow of the write that makes it
 *   ANY_VERSION   the successor writes although the page has changed
 *   TAKE_ALL      the successor reclaims all that was in escrow, whatever the schedule has released
 */
#define W 3          /* tokens of the router */
#define T 3          /* ticks */
#define WRITES 2     /* writes of the router */
#define STARTS 2     /* processes that follow it */

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define LESS(a, b) ((a) > (b) -> (a) - (b) : 0)
#define LEFT(tokens, since) LESS(tokens, t - (since))

byte t;
/* the page */
byte issued = W, escrow, since, version;
/* the router: its balance, returns that no write has yet, and the escrow that it knows of */
bool alive = true;
byte bal = W, queued, known, knownSince;
/* its write: 0 none, 1 sent, 2 landed, 3 refused */
byte writes, write, newEscrow, newSince, newVersion, returned;
/* elsewhere */
byte under_way, peer, returning, used;
/* the successor: its start, and its copy of the page */
bool started, hasCopy;
byte starts, start, copyVersion, copyEscrow, copySince;

#ifdef RETURN_FREE
#define RETURNS (queued + returned + returned)
#else
#define RETURNS (queued + returned)
#endif
#ifdef IGNORE_OLD
#define OLD (write == 0 -> LESS(LEFT(known, knownSince), RETURNS) : 0)
#else
#define OLD LESS(LEFT(known, knownSince), RETURNS)
#endif
#ifdef IGNORE_NEW
#define NEW 0
#else
#define NEW (write == 0 -> 0 : LEFT(newEscrow, newSince))
#endif
#define USABLE (bal > MAX(OLD, NEW))
#ifdef SEND_ESCROW
#define MAY_SEND (bal > 0)
#else
#define MAY_SEND USABLE
#endif
#ifdef USE_ESCROW
#define MAY_USE (bal > 0)
#else
#define MAY_USE USABLE
#endif
#ifdef ANY_VERSION
#define UNCHANGED true
#else
#define UNCHANGED (copyVersion == version)
#endif

#define OK assert(used + peer + under_way + returning <= issued)

active proctype clock() {
	do
	:: atomic { t < T -> t++ }
	:: t == T -> break
	od
}

active proctype router() {
	do
	:: atomic { alive && MAY_USE -> bal--; used++; OK }
	:: atomic { alive && MAY_SEND -> bal--; under_way++; OK }
	:: atomic { alive && returning > 0 -> returning--; bal++ }
	:: atomic { alive && bal > 0 -> bal--; queued++ }
	:: atomic { alive && write == 0 && writes < WRITES ->
		writes++;
		newEscrow = bal;
		if
		:: bal > 0 -> newEscrow--              /* one token remains usable */
		:: skip
		fi;
		newSince = t; newVersion = version; returned = queued; queued = 0; write = 1 }
	:: atomic { alive && write == 2 -> known = newEscrow; knownSince = newSince; returned = 0; write = 0 }
	:: atomic { alive && write == 3 -> queued = queued + returned; returned = 0; write = 0 }
	:: atomic { alive -> alive = false }
	od
}

active proctype store() {
	do
	:: atomic { write == 1 ->
		if
		:: newVersion == version ->
			issued = issued - returned; escrow = newEscrow; since = newSince; version++; write = 2; OK
		:: else -> write = 3
		fi }
	od
}

active proctype network() {
	do
	:: atomic { under_way > 0 -> under_way--; peer++ }
	:: atomic { under_way > 0 -> under_way-- }                     /* lost */
	:: atomic { alive && under_way > 0 -> under_way--; bal++ }     /* reported as undelivered */
	:: atomic { peer > 0 -> peer--; used++ }
	:: atomic { peer > 0 -> peer--; returning++ }
	od
}

active proctype successor() {
	byte left;
	do
	:: atomic { !alive && starts < STARTS -> starts++; started = true; start = t; hasCopy = false }     /* also a second one */
	:: atomic { started && !hasCopy -> copyVersion = version; copyEscrow = escrow; copySince = since; hasCopy = true }
	:: atomic { hasCopy && UNCHANGED && copyEscrow > 0 && start >= copySince ->
#ifdef TAKE_ALL
		left = copyEscrow;
#else
		left = LESS(copyEscrow, start - copySince);
#endif
		issued = issued - left; escrow = 0; version++; hasCopy = false; left = 0; OK }
	od
}
