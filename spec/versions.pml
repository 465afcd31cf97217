/*
 * Acceptance and distribution of versions of the lists.
 *
 * Two operators propose one change each. The response of the store may be lost
 * after a write took effect. Two watch holders read the head at any time and
 * announce what they read at any later time. This covers a holder that is paused
 * past the end of its lease: leases do not appear in the model, because nothing
 * may depend on them. Announcements are lost, duplicated and reordered. The node
 * restarts. One node is enough, because a node may receive any announced version
 * at any time from any sender, and nodes share nothing but announcements.
 *
 * Each macro below removes one guard. The checker must then find a violation.
 *   NO_CHANGE_ID   an operator swaps again without looking for its change ID
 *   BLIND_WRITE    an operator writes the head without comparing
 *   NO_FORWARD     a node accepts any announced version
 *   SPLIT_APPLY    a node applies the two lists one after the other
 *   NO_VALIDATE    a node applies a version that does not compile
 *   NO_READY_GATE  a restarted node serves the first version that it receives
 */

#define NODES   1
#define OPS     2
#define MAXSEQ  3

/* Store: the head's sequence and what each sequence contains. */
byte head = 1;
/* by[s] is the operator whose change made version s, OPS for the initial one. */
byte by[MAXSEQ + 2];
/* applied[o] counts the versions that operator o's change made. */
byte applied[OPS];
/* told[o] is set when operator o was told that its change is accepted. */
bool told[OPS];
/* The change of operator BADOP makes a version that does not compile. It models a
 * write to the store that bypassed the validation of proposals. */
#define BADOP 1

#ifdef NO_FORWARD
#define FORWARD(n) true
#else
#define FORWARD(n) (heard > plans[n])
#endif
#ifdef NO_VALIDATE
#define VALID true
#else
#define VALID (by[heard] != BADOP)
#endif
/* Before it serves, a restarted node compares versions with enough peers to learn
 * one at least as high as the one that its host served before. */
#ifdef NO_READY_GATE
#define READY(n) true
#else
#define READY(n) (!fresh || heard >= served[n])
#endif

/* Nodes: the applied version of each list; zero means none. */
byte plans[NODES];
byte allowances[NODES];
/* served[n] is the highest version that node n's host has served with. */
byte served[NODES];

/* sent[s] is set once some holder announced version s. An announced version can
 * reach any node at any later time, any number of times, or never. */
bool sent[MAXSEQ + 2];

inline swapHead(o, expected, ok)
{
	atomic {
		if
#ifdef BLIND_WRITE
		:: true ->
			head = expected + 1;
#else
		:: head == expected ->
			head = expected + 1;
#endif
			by[head] = o;
			applied[o]++;
			ok = true
#ifndef BLIND_WRITE
		:: head != expected -> ok = false
#endif
		fi
	}
}

proctype Operator(byte o)
{
	byte seen;
	byte i;
	byte tries = 0;
	bool ok;
	bool found;
retry:
	atomic {
		seen = head;
		found = false;
		i = 2;
		do
		:: i <= seen ->
#ifndef NO_CHANGE_ID
			if
			:: by[i] == o -> found = true
			:: else
			fi;
#endif
			i++
		:: else -> break
		od
	}
	if
	:: found -> told[o] = true; goto done
	:: !found && (tries == 2 || seen == MAXSEQ) -> goto done
	:: !found && tries < 2 && seen < MAXSEQ -> tries++
	fi;
	swapHead(o, seen, ok);
	if
	:: ok -> told[o] = true; goto done	/* the response arrived */
	:: ok -> goto retry			/* the response was lost */
	:: !ok -> goto retry			/* another operator was first */
	fi;
done:
	skip
}

proctype Holder()
{
	byte seen;
	byte rounds = 0;
	do
	:: rounds < 2 ->
		seen = head;
		rounds++;
		sent[seen] = true
	:: rounds >= 2 -> break
	od
}

/* A node receives announced versions in any order. A restart loses its state. Its
 * peers then send the versions they have, which may be older than the one that the
 * node served. */
proctype Node(byte n)
{
	byte heard;
	byte steps = 0;
	bool fresh = false;
	do
	:: steps < 4 ->
		steps++;
		if
		:: sent[1] -> heard = 1
		:: sent[2] -> heard = 2
		:: sent[3] -> heard = 3
		:: true -> goto restart
		fi;
		goto offered;
restart:
		atomic { plans[n] = 0; allowances[n] = 0; fresh = true; heard = 0 };
offered:
		if
		:: heard == 0 || !FORWARD(n) || !VALID || !READY(n) -> skip
		:: heard != 0 && FORWARD(n) && VALID && READY(n) ->
#ifdef SPLIT_APPLY
			plans[n] = heard;
			allowances[n] = heard;
#else
			d_step { plans[n] = heard; allowances[n] = heard };
#endif
			d_step {
				fresh = false;
				assert(heard >= served[n]);	/* forward only, I1 and I9 */
				served[n] = heard
			}
		fi
	:: steps >= 4 -> break
	od
}

#define TORN(n)    (plans[n] != allowances[n])
#define INVALID(n) (plans[n] != 0 && by[plans[n]] == BADOP)
#define LOST(o)    (told[o] && by[2] != o && by[3] != o)

/* A call may read both lists at any time. They must belong to one version and be
 * valid (I2 and I3). */
active proctype Call()
{
	atomic { (TORN(0) || INVALID(0)) -> assert(false) }
}

/* An accepted change is applied once and never reverted (I9). */
active proctype Audit()
{
	atomic { (applied[0] > 1 || applied[1] > 1 || LOST(0) || LOST(1)) -> assert(false) }
}

init {
	atomic {
		by[1] = OPS;
		by[2] = OPS;
		by[3] = OPS;
		run Operator(0);
		run Operator(1);
		run Holder();
		run Holder();
		run Node(0)
	}
}
