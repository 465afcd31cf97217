/*
 * Claims of idempotency keys: several writers use the same key.
 *
 * A writer claims the key by compare-and-swap on its segment, dispatches the
 * call, and releases the claim when the call was definitely not executed. The
 * response of the store may be lost after the write took effect. Any process may
 * be paused between any two steps. A cleaner raises the floor, the low watermark
 * below which claims are deleted, and deletes the segment while the writers run.
 *
 * The configuration CLEANUP has two writers, the cleaner, and a writer of another
 * key in the same segment. The configuration RELEASES has three writers and no
 * cleanup. Both are checked.
 *
 * Each macro below removes one guard. The checker must then find a violation.
 *   NO_CLAIM          a writer dispatches without a claim
 *   LOST_IS_CONFLICT  a writer to which the response was lost releases the claim
 *                     and starts again without reading back who holds it
 *   FOREIGN_RELEASE   a release does not compare the claim's nonce
 *   RETRY_UNKNOWN     a writer dispatches again after an unknown outcome
 *   DELETE_FIRST      the cleaner deletes the segment before it raises the floor
 *   FLOOR_FIRST       a writer reads the floor before it swaps, not after
 *   FLOOR_ON_CREATE   only the writer that creates a segment reads the floor. A
 *                     writer that recreated a deleted segment rejects its own
 *                     key, but the next writer finds an empty segment and does
 *                     not read the floor.
 */

#define WRITERS 3
#define NONE 0

/* The segment: absent or present, its revision, and the holder of the claim. */
bool present = false;
byte revision = 0;
byte holder = NONE;
bool floorRaised = false;

byte runs = 0;
byte ranBy[WRITERS + 1];
bool toldNotExecuted[WRITERS + 1];

/* swap sets the holder if the segment and its revision are as expected. ok is the
 * result in the store; the caller models the loss of the response. */
inline swap(expectedPresent, expectedRevision, newHolder, ok)
{
	atomic {
		if
		:: present == expectedPresent && (!present || revision == expectedRevision) ->
			present = true;
			revision++;
			holder = newHolder;
			ok = true
		:: else -> ok = false
		fi
	}
}

inline readSegment()
{
	d_step { sawPresent = present; sawRevision = revision; sawHolder = holder }
}

proctype Writer(byte me)
{
	bool sawPresent;
	byte sawRevision;
	byte sawHolder;
	bool ok;
	bool created;
	bool floorSeen = false;
	bool createdOnce = false;
	byte tries = 0;
	byte attempts = 0;
	byte releases = 0;

claim:
	if
	:: tries >= 2 -> goto gaveUp
	:: tries < 2 -> tries++
	fi;
#ifdef NO_CLAIM
	goto dispatch;
#endif
	readSegment();
	created = !sawPresent;
#ifdef FLOOR_FIRST
	floorSeen = floorRaised;
#endif
	if
	:: sawPresent && sawHolder == me -> goto claimed	/* read back by nonce */
	:: sawPresent && sawHolder != NONE && sawHolder != me -> goto refused
	:: !sawPresent || sawHolder == NONE -> skip
	fi;
	swap(sawPresent, sawRevision, me, ok);
	createdOnce = createdOnce || (ok && created);
	if
	:: ok -> skip				/* the response arrived */
	:: true ->				/* the response was lost, or a conflict */
#ifdef LOST_IS_CONFLICT
		atomic { if :: present -> holder = NONE; revision++ :: else fi };
#endif
		goto claim
	fi;
claimed:
#ifdef FLOOR_ON_CREATE
	if
	:: createdOnce -> floorSeen = floorRaised
	:: else -> skip
	fi;
#endif
#if !defined(FLOOR_FIRST) && !defined(FLOOR_ON_CREATE)
	floorSeen = floorRaised;
#endif
	if
	:: floorSeen -> goto refused
	:: else -> skip
	fi;
dispatch:
	attempts++;
	if
	:: true ->				/* the endpoint executes the call */
		d_step { runs++; ranBy[me]++ };
		if
		:: true -> goto finished	/* the response arrives */
		:: true ->			/* the response is lost: unknown */
#ifdef RETRY_UNKNOWN
			if
			:: attempts < 2 -> goto dispatch
			:: else -> goto finished
			fi
#else
			goto finished
#endif
		fi
	:: attempts < 2 -> goto dispatch	/* definitely rejected; same claim */
	:: true -> goto release			/* definitely rejected */
	fi;
release:
#ifdef FOREIGN_RELEASE
	atomic { if :: present -> holder = NONE; revision++ :: else fi };
#else
	readSegment();
	if
	:: sawPresent && sawHolder == me -> swap(sawPresent, sawRevision, NONE, ok)
	:: else -> skip
	fi;
#endif
	if
	:: true -> skip				/* the response arrived */
	:: releases < 1 -> releases++; goto release	/* lost: release again */
	fi;
gaveUp:
	/* This writer may still hold the claim. An unused claim is safe, and the call
	 * was not dispatched. */
refused:
	toldNotExecuted[me] = true;
	assert(ranBy[me] == 0);			/* not_executed is definite, I5 */
finished:
	skip
}

proctype Cleaner()
{
#ifdef DELETE_FIRST
	d_step { if :: present -> present = false; holder = NONE; revision++ :: else fi };
	floorRaised = true;
#else
	floorRaised = true;
	d_step { if :: present -> present = false; holder = NONE; revision++ :: else fi };
#endif
}

/* A writer of another key in the same segment: it creates the segment when it is
 * absent. When the floor is raised it rejects its own key, but the segment stays. */
proctype OtherKey()
{
	if
	:: atomic { !present -> present = true; revision++; holder = NONE }
	:: true
	fi
}

/* A client may send the same key again at any time, also after the cleanup. */
active proctype Audit()
{
	atomic { runs > 1 -> assert(false) }	/* at most once, I6 */
}

init {
	atomic {
		run Writer(1);
		run Writer(2);
#ifdef RELEASES
		run Writer(3)
#else
		run OtherKey();
		run Cleaner()
#endif
	}
}
