/* Escrows: tokens that a process withheld are reclaimed by a later process of the same
 * machine. The age of an escrow comes from clocks that may restart or be set.
 *
 * There is one entry of W tokens, written once. Its owner uses the tokens that the schedule
 * releases, one token per tick, until it dies. The machine may lose power, so that its
 * monotonic clock restarts under the same boot id; the time of day may be set by up to J
 * ticks either way; processes may start and die without writing anything. A process that
 * starts after the owner's death may reclaim the tokens that the schedule cannot have
 * released at the age that the clocks prove. Safety: used and reclaimed tokens never exceed W.
 *
 * Each define below removes one rule; the check must then fail:
 *   NO_DAY       the time of day is not compared
 *   NO_UPTIME    entries written shortly after a machine start are accepted
 *   NO_SCHEDULE  all withheld tokens are reclaimed, whatever the schedule has released
 */
#define W 4          /* tokens withheld, and ticks until all are released */
#define T 16         /* ticks in the model */
#define J 1          /* maximum error of the time of day, in ticks */
#define LEAST 3      /* least monotonic clock at a write for a later restart to be detectable: 2 J + 1 */

byte t;              /* true time */
byte boot;           /* true time at which the monotonic clock was zero */
byte off = J;        /* error of the time of day, plus J */
bool alive = true;   /* a process is running */
bool owner = true;   /* the running process is the owner of the escrow */
bool written, closed;
byte wroteSteady, wroteDay, wroteAt;
byte used;

#define STEADY (t - boot)
#define DAY (t + off)

#ifdef NO_DAY
#define CLOCKS_AGREE true
#else
#define CLOCKS_AGREE (DAY - wroteDay == STEADY - wroteSteady)
#endif

#ifdef NO_UPTIME
#define RAN_LONG true
#else
#define RAN_LONG (wroteSteady >= LEAST)
#endif

inline write() {
	wroteSteady = STEADY;
	wroteDay = DAY;
	wroteAt = t;
	written = true
}

/* A process starts and reclaims the tokens that are proven unused. */
inline start() {
	alive = true;
	if
	:: written && !closed && STEADY >= wroteSteady && CLOCKS_AGREE && RAN_LONG -> take()
	:: else
	fi
}

inline take() {
	byte left = W;
#ifndef NO_SCHEDULE
	byte age = STEADY - wroteSteady;
	left = (age >= W -> 0 : W - age);
#endif
	assert(used + left <= W);
	closed = true
}

active proctype machine() {
	do
	:: atomic { t < T -> t++ }
	:: atomic { alive && owner && !written -> write() }
	:: atomic { alive && owner && written && used < W && used < t - wroteAt -> used++ }
	:: atomic { off > 0 -> off-- }
	:: atomic { off < 2 * J -> off++ }
	:: atomic { alive -> alive = false; owner = false }                /* the process dies */
	:: atomic { alive = false; owner = false; boot = t }               /* the machine loses power */
	:: atomic { !alive -> start() }
	:: t == T -> break
	od
}
