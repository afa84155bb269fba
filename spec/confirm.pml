/*
 * The core protocol: when a daemon may act on what it has read, and when a record
 * is in force. docs/design/confirm.md explains the rules; check.sh runs the model.
 *
 * Time is a count of ticks that pass for all at once. Every other step is optional,
 * so a daemon that takes no step while ticks pass is paused, a log that answers
 * nobody is away, and an answer that is not taken was lost in one direction.
 * An answer of the log or of a peer that was asked earlier, or that arrives later,
 * makes evidence that is older and says no more; so these rules are one step. The
 * answers of witnesses are collected one by one, at different times.
 *
 * Daemons 0 and 3 act on settings and holdings. All four can be witnesses. Daemon 1
 * may restart once. Each record is a roster or an edit; any edit may withdraw a key.
 */

#ifndef RECORDS
#define RECORDS 3      /* records of the log */
#endif
#ifndef ROSTERS
#define ROSTERS 2      /* how many of them may be rosters */
#endif
#ifndef ASKER
#define ASKER 0        /* the acting daemon that asks the witnesses: 0, or 1 for daemon 3 */
#endif
#define DAEMONS 4
#define L 2            /* ticks that evidence lasts */

/* Witnesses of roster 0 (before the log begins), 1 and 2 as bits of daemons. */
#ifdef BOOT
#define WITNESSES(r) ((r) == 0 -> 0 : ((r) == 1 -> 7 : 14))
#else
#define WITNESSES(r) ((r) == 0 -> 7 : ((r) == 1 -> 14 : 13))
#endif

/* The one holding belongs to daemon 0, then 3, then 0 again. */
#define HOLDER(r) ((r) == 1 -> 3 : 0)

#define BIT(d) (1 << (d))
#define RESTARTED 4    /* the bit of the second incarnation of daemon 1 */

byte length;                 /* offset of the newest record */
byte rosterat[3];            /* offset of roster 1 and 2, or 0 */
byte rosters;                /* newest roster on the log */
bit names[3];                /* the incarnation of daemon 1 that a roster names */

byte pos[DAEMONS];           /* last record that a daemon has read */
bit incarnation;             /* of daemon 1 */

/* Evidence of the two acting daemons, 0 and 3. */
byte age[2] = L;             /* L: no evidence */
byte at[2];                  /* no record past this was in force */
byte learnt[2];              /* newest roster known to be in force */

/* The question of one of them to the witnesses. */
byte asked = L;              /* ticks since the question; L: none */
byte votes;                  /* witnesses that answered, as bits */
#ifdef OLDAT
byte most;                   /* the newest offset among these answers */
#endif

/* Ticks since majorities had read an offset, plus 1. In force from L + 1 on. */
byte settled[RECORDS + 1];

#ifdef NOWAIT
#define INFORCE(r) (settled[r] >= 1)
#else
#define INFORCE(r) (settled[r] >= L + 1)
#endif

hidden byte i, w, n, v, era;

/* era: the newest roster at or before an offset. */
#define ERA(p) ((rosterat[2] != 0 && rosterat[2] <= (p)) -> 2 : ((rosterat[1] != 0 && rosterat[1] <= (p)) -> 1 : 0))

/* Two votes are a majority of three seats. */
#define SEATS(r) ((WITNESSES(r)) == 0 -> 0 : 3)

/* Whether daemon d's seat in a roster has ended with its incarnation. */
#ifdef KEEPSEAT
#define ENDED(r, d) (0)
#else
#define ENDED(r, d) ((d) == 1 && names[r] != incarnation && names[r] == 0)
#endif

/* Whether daemon d runs as the incarnation that a roster names. */
#ifdef KEEPSEAT
#define SEATED(r, d) (1)
#else
#define SEATED(r, d) ((d) != 1 || names[r] == incarnation)
#endif

/* n: witnesses of roster era that have read offset i, or can't answer any more. */
inline reading() {
	n = 0;
	w = 0;
	do
	:: w < DAEMONS ->
		if
		:: (WITNESSES(era) & BIT(w)) != 0 && (ENDED(era, w) || (SEATED(era, w) && pos[w] >= i)) -> n++
		:: else
		fi;
		w++
	:: else -> break
	od
}

/* Marks the offsets that majorities have read. The observer knows every answer at
 * once, which puts records in force as early as any daemon could. */
inline mark() {
	i = 1;
	do
	:: i <= length ->
		era = ERA(i - 1);
		reading();
		if
		:: n * 2 > SEATS(era) || SEATS(era) == 0 ->
			if
			:: settled[i] == 0 -> settled[i] = 1
			:: else
			fi
		:: else
#ifndef WRONGROSTER
			/* Later records wait for this one. */
			-> break
#endif
		fi;
		i++
	:: else -> break
	od;
	i = 0; w = 0; n = 0; era = 0
}

inline append() {
	length++;
	settled[length] = 0;
	mark()
}

inline tick() {
	v = 0;
	do
	:: v < 2 ->
		if
		:: age[v] < L -> age[v]++
		:: else
		fi;
		if
		:: age[v] >= L -> at[v] = 0
		:: else
		fi;
		v++
	:: else -> break
	od;
	if
	:: asked < L -> asked++
	:: else
	fi;
	if
	:: asked >= L -> votes = 0;
#ifdef OLDAT
		most = 0
#endif
	:: else
	fi;
	v = 1;
	do
	:: v <= RECORDS ->
		if
		:: settled[v] > 0 && settled[v] < L + 1 -> settled[v]++
		:: else
		fi;
		v++
	:: else -> break
	od;
	v = 0
}

#define ACTOR(a) ((a) * 3)
#define CONFIRMED(a) (age[a] < L)

/* Keeps evidence that no record past p was in force, g ticks after the question. */
inline keep(a, p, g) {
	if
	:: (p) <= pos[ACTOR(a)] && (g) < age[a] -> at[a] = (p); age[a] = (g)
	:: else
	fi
}

/* Rule 1: the log tells its head. */
inline head(a) { keep(a, length, 0) }

/* Rule 2: the other acting daemon tells its evidence. */
inline peer(a) {
#ifdef NOAGE
	keep(a, at[1 - a], 0)
#else
	keep(a, at[1 - a], age[1 - a])
#endif
}

/* Rule 3: daemon ACTOR(ASKER) asks; a witness tells what it has read. An answer
 * past what the asker has read is of no use before it has read as much. */
inline ask() {
	asked = 0;
	votes = 0;
#ifdef OLDAT
	most = 0
#endif
}

inline answer(d) {
	votes = votes | ((d == 1 && incarnation == 1) -> BIT(RESTARTED) : BIT(d));
#ifdef OLDAT
	if
	:: pos[d] > most -> most = pos[d]
	:: else
	fi
#endif
}

/* VOTED: whether the incarnation of daemon d that a roster names has answered. */
#ifdef KEEPSEAT
#define VOTED(r, d) ((d) == 1 -> (votes & (BIT(1) | BIT(RESTARTED))) != 0 : (votes & BIT(d)) != 0)
#else
#define VOTED(r, d) (((d) == 1 && names[r] == 1) -> (votes & BIT(RESTARTED)) != 0 : (votes & BIT(d)) != 0)
#endif

/* Rule 3: the asker counts the votes of the newest roster that it has read. */
inline count() {
#ifdef WRONGASK
	era = learnt[ASKER];
#else
	era = ERA(pos[ACTOR(ASKER)]);
#endif
	n = 0;
	w = 0;
	do
	:: w < DAEMONS ->
		if
		:: (WITNESSES(era) & BIT(w)) != 0 && VOTED(era, w) -> n++
		:: else
		fi;
		w++
	:: else -> break
	od;
	if
	:: SEATS(era) != 0 && n * 2 > SEATS(era) ->
#ifdef ANSWERTIME
		keep(ASKER, pos[ACTOR(ASKER)], 0)
#elif defined(OLDAT)
		keep(ASKER, most, asked)
#else
		/* Not the newest offset among the answers: these witnesses know nothing of
		 * the records before their roster. */
		keep(ASKER, pos[ACTOR(ASKER)], asked)
#endif
	:: else
	fi;
	w = 0; n = 0; era = 0
}

/* Whether an acting daemon holds by the roster r, when r is among those that it
 * goes by: the newest that it knows to be in force, and the newer ones it read. */
#ifdef EARLYTAKE
#define AGREES(a, r) ((r) != learnt[a] || HOLDER(r) == ACTOR(a))
#else
#define AGREES(a, r) ((r) < learnt[a] || (r) > ERA(pos[ACTOR(a)]) || HOLDER(r) == ACTOR(a))
#endif
#define HOLDS(a) (CONFIRMED(a) && AGREES(a, 0) && AGREES(a, 1) && AGREES(a, 2))

/* What must always hold. */
inline check() {
	v = 1;
	do
	:: v <= length ->
		/* A confirmed daemon has read every record in force, so it neither accepts
		 * a withdrawn key nor goes back to older settings. */
		assert(!INFORCE(v) || !CONFIRMED(0) || pos[0] >= v);
		assert(!INFORCE(v) || !CONFIRMED(1) || pos[3] >= v);
		/* What is in force has nothing before it that is not. */
		assert(v == 1 || !INFORCE(v) || INFORCE(v - 1));
		v++
	:: else -> break
	od;
	v = 0;
#ifdef HOLDINGS
	/* One holding has one holder. */
	assert(!(HOLDS(0) && HOLDS(1)))
#endif
}

#define READ(d) pos[d] < length -> pos[d]++; mark()
#define ANSWERS(d) asked < L && pos[d] <= pos[ACTOR(ASKER)] && (d != 1 || incarnation == 1 || (votes & BIT(1)) == 0) -> answer(d)
#define NEXT(a) rosterat[learnt[a] + 1]

active proctype system() {
	do
	:: d_step { length < RECORDS -> append(); check() }
	:: d_step { length < RECORDS && rosters < ROSTERS ->
		rosters++; rosterat[rosters] = length + 1; names[rosters] = incarnation; append(); check() }
#ifndef NORESTART
	:: d_step { length < RECORDS && rosters < ROSTERS && incarnation == 1 ->
		/* The proposer has not heard of the restart. */
		rosters++; rosterat[rosters] = length + 1; names[rosters] = 0; append(); check() }
	:: d_step { incarnation == 0 -> incarnation = 1; pos[1] = 0; mark(); check() }
#endif
	:: d_step { READ(0); check() }
	:: d_step { READ(1); check() }
	:: d_step { READ(2); check() }
	:: d_step { READ(3); check() }
	:: d_step { tick(); check() }
	:: d_step { age[0] > 0 -> head(0); check() }
	:: d_step { age[1] > 0 -> head(1); check() }
	:: d_step { CONFIRMED(1) -> peer(0); check() }
	:: d_step { CONFIRMED(0) -> peer(1); check() }
	:: d_step { asked > 0 -> ask() }
	:: d_step { ANSWERS(0) }
	:: d_step { ANSWERS(1) }
	:: d_step { ANSWERS(2) }
	:: d_step { ANSWERS(3) }
	:: d_step { votes != 0 -> count(); check() }
#ifdef HOLDINGS
	:: d_step { learnt[0] < rosters && NEXT(0) <= pos[0] && INFORCE(NEXT(0)) -> learnt[0]++; check() }
	:: d_step { learnt[1] < rosters && NEXT(1) <= pos[3] && INFORCE(NEXT(1)) -> learnt[1]++; check() }
#endif
	od
}
