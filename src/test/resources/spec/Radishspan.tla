------------------------------ MODULE Radishspan ------------------------------
(* The core protocol: a ledger of shares, bills, holders of bills, and a journal of requests that may run at most once. *)
(* Every request costs one token. A process may be paused at any point: that is an action that is not taken for long.   *)
(* A conditional update is one atomic step on the stored object; that its answer may be lost is modelled by letting the  *)
(* process learn of the step later, or never, and repeat it.                                                             *)
EXTENDS Integers, FiniteSets, TLC

CONSTANTS
  Processes,     \* router processes; a restart is another process
  Plain,         \* requests without an idempotency key, each sent once
  Keyed,         \* requests with one that may not be repeated, sent to any process
  InitialLimit,
  Reclaim,       \* "fenced" or "operator"
  Fault          \* "none", or a fault that the checker must find

VARIABLES limit, toppedUp, closedSpent, share, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun

Symmetry == Permutations(Processes) \union Permutations(Plain)

vars == <<limit, toppedUp, closedSpent, share, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun>>

Max(a, b) == IF a > b THEN a ELSE b
RECURSIVE Sum(_, _)
Sum(f, S) == IF S = {} THEN 0 ELSE LET x == CHOOSE x \in S : TRUE IN f[x] + Sum(f, S \ {x})

NoShare == [state |-> "none", granted |-> 0, spent |-> 0, keyed |-> 0, swept |-> FALSE, released |-> FALSE]

Init ==
  /\ limit = InitialLimit
  /\ toppedUp = 0
  /\ closedSpent = 0
  /\ share = [p \in Processes |-> NoShare]
  /\ alive = [p \in Processes |-> TRUE]
  \* granted: tokens known to be granted; used: reserved or billed; spent: bills without a key; posted: bills known safe
  /\ local = [p \in Processes |-> [granted |-> 0, used |-> 0, spent |-> 0, keyedPosted |-> 0, lost |-> FALSE]]
  /\ plain = [r \in Plain |-> [state |-> "new", at |-> "none", number |-> 0]]
  /\ holds = [p \in Processes |-> 0]       \* what the one holder of p keeps of p's bills
  /\ journal = [k \in Keyed |-> [state |-> "none", owner |-> "none"]]
  /\ journalClosed = [p \in Processes |-> FALSE]
  /\ claimed = [p \in Processes |-> [k \in Keyed |-> "no"]]
  /\ runs = [k \in Keyed |-> 0]
  /\ notRun = [p \in Processes |-> [k \in Keyed |-> FALSE]]

Open(p) == share[p].state = "open"
Outstanding == Sum([p \in Processes |-> IF share[p].state \in {"open", "closed"} THEN share[p].granted ELSE 0], Processes)
Free == limit - closedSpent - Outstanding
Holder(p) == CHOOSE h \in Processes : h # p
Room(p) == local[p].granted - local[p].used

(* ---- budgets ---- *)

TopUp ==
  /\ toppedUp < 2
  /\ toppedUp' = toppedUp + 1
  \* The second step repeats a command whose answer was lost; its operation id is found in the ledger.
  /\ limit' = IF toppedUp = 0 \/ Fault = "blindRetry" THEN limit + 1 ELSE limit
  /\ UNCHANGED <<closedSpent, share, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun>>

Grant(p) ==
  /\ alive[p]
  /\ share[p].state \in {"none", "open"}
  /\ Free > 0
  /\ share' = [share EXCEPT ![p].state = "open", ![p].granted = @ + 1]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun>>

LearnGrant(p) ==
  /\ alive[p]
  /\ IF Fault = "grantNotAwaited"
       THEN local[p].granted < 2 /\ local' = [local EXCEPT ![p].granted = @ + 1]
       ELSE /\ Open(p)
            /\ share[p].granted > local[p].granted
            /\ local' = [local EXCEPT ![p].granted = share[p].granted]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, plain, holds, journal, journalClosed, claimed, runs, notRun>>

(* ---- requests without a key ---- *)

Dispatch(p, r) ==
  /\ alive[p] /\ ~local[p].lost
  /\ plain[r].state = "new"
  /\ Room(p) > 0
  /\ local' = [local EXCEPT ![p].used = @ + 1]
  /\ plain' = [plain EXCEPT ![r] = [state |-> "running", at |-> p, number |-> 0]]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, holds, journal, journalClosed, claimed, runs, notRun>>

Bill(p, r) ==
  /\ alive[p] /\ ~local[p].lost
  /\ plain[r].state = "running" /\ plain[r].at = p
  /\ local' = [local EXCEPT ![p].spent = @ + 1]
  /\ plain' = [plain EXCEPT ![r].state = "billed", ![r].number = local[p].spent + 1]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, holds, journal, journalClosed, claimed, runs, notRun>>

Settle(p) ==
  /\ alive[p] /\ ~local[p].lost
  /\ Open(p)
  /\ \/ local[p].spent > share[p].spent
     \/ local[p].keyedPosted < Cardinality({k \in Keyed : journal[k].state = "done" /\ journal[k].owner = p})
     \/ Fault = "billNotDeduplicated" /\ local[p].spent > 0 /\ share[p].spent < share[p].granted
  /\ LET keyed == Cardinality({k \in Keyed : claimed[p][k] = "done"})
     IN /\ share' = [share EXCEPT
              ![p].spent = IF Fault = "billNotDeduplicated" THEN @ + 1 ELSE Max(@, local[p].spent),
              ![p].keyed = Max(@, keyed)]
        /\ local' = [local EXCEPT ![p].keyedPosted = keyed]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, alive, plain, holds, journal, journalClosed, claimed, runs, notRun>>

HandOver(p) ==
  /\ alive[p] /\ ~local[p].lost
  /\ alive[Holder(p)]
  /\ share[p].state # "none"
  /\ ~share[p].released
  /\ local[p].spent > holds[p]
  /\ holds' = [holds EXCEPT ![p] = local[p].spent]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, plain, journal, journalClosed, claimed, runs, notRun>>

\* The last part of an answer goes out once the ledger, or the holder, has the bill.
Answer(p, r) ==
  /\ alive[p]
  /\ plain[r].state = "billed" /\ plain[r].at = p
  /\ \/ share[p].spent >= plain[r].number
     \/ holds[p] >= plain[r].number
  /\ plain' = [plain EXCEPT ![r].state = "answered"]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, holds, journal, journalClosed, claimed, runs, notRun>>

LearnLost(p) ==
  /\ alive[p] /\ ~local[p].lost
  /\ share[p].state \in {"closed", "gone"}
  /\ local' = [local EXCEPT ![p].lost = TRUE]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, plain, holds, journal, journalClosed, claimed, runs, notRun>>

PostHeld(p) ==
  /\ alive[Holder(p)]
  /\ share[p].state \in {"open", "closed"}
  /\ ~share[p].released
  /\ holds[p] > share[p].spent
  /\ share' = [share EXCEPT ![p].spent = holds[p]]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun>>

(* ---- the end of a process ---- *)

Crash(p) ==
  /\ alive[p]
  /\ alive' = [alive EXCEPT ![p] = FALSE]
  \* What it kept for others is gone with it.
  /\ holds' = [q \in Processes |-> IF Holder(q) = p THEN 0 ELSE holds[q]]
  /\ plain' = [r \in Plain |->
       IF plain[r].at = p /\ plain[r].state \in {"running", "billed"} THEN [plain[r] EXCEPT !.state = "lost"] ELSE plain[r]]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, local, journal, journalClosed, claimed, runs, notRun>>

\* Anybody may close a process at any time, also one that only seems dead.
Close(p) ==
  /\ Open(p)
  /\ share' = [share EXCEPT ![p].state = "closed"]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun>>

CloseJournal(p) ==
  /\ share[p].state = "closed"
  /\ ~journalClosed[p]
  /\ journalClosed' = [journalClosed EXCEPT ![p] = TRUE]
  /\ journal' = [k \in Keyed |->
       IF journal[k].owner = p /\ journal[k].state = "running" THEN [journal[k] EXCEPT !.state = "unknown"] ELSE journal[k]]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, plain, holds, claimed, runs, notRun>>

Sweep(p) ==
  /\ share[p].state = "closed" /\ journalClosed[p] /\ ~share[p].swept
  /\ share' = [share EXCEPT ![p].swept = TRUE,
                            ![p].keyed = Cardinality({k \in Keyed : journal[k].state = "done" /\ journal[k].owner = p})]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun>>

ReleaseHeld(p) ==
  /\ share[p].state = "closed" /\ ~share[p].released
  /\ alive[Holder(p)]
  /\ holds[p] <= share[p].spent
  /\ share' = [share EXCEPT ![p].released = TRUE]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun>>

GiveRestBack(p) ==
  /\ Reclaim = "fenced"
  /\ \/ share[p].state = "closed" /\ share[p].swept /\ share[p].released
     \/ Fault = "reclaimOnTimer" /\ share[p].state \in {"open", "closed"}
  /\ closedSpent' = closedSpent + share[p].spent + share[p].keyed
  /\ share' = [share EXCEPT ![p].state = "gone"]
  /\ UNCHANGED <<limit, toppedUp, alive, local, plain, holds, journal, journalClosed, claimed, runs, notRun>>

(* ---- requests that may run at most once ---- *)

Claim(p, k) ==
  /\ alive[p] /\ ~journalClosed[p]
  /\ claimed[p][k] = "no"
  /\ journal[k].state = "none"
  /\ journal' = [journal EXCEPT ![k] = [state |-> "running", owner |-> p]]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, plain, holds, journalClosed, claimed, runs, notRun>>

LearnClaim(p, k) ==
  /\ alive[p]
  /\ claimed[p][k] = "no" /\ ~notRun[p][k]
  /\ \/ journal[k].owner = p /\ journal[k].state = "running"
     \/ Fault = "intentAfterDispatch"
  /\ claimed' = [claimed EXCEPT ![p][k] = "yes"]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, plain, holds, journal, journalClosed, runs, notRun>>

Run(p, k) ==
  /\ alive[p] /\ ~local[p].lost
  /\ claimed[p][k] = "yes"
  /\ Room(p) > 0
  /\ local' = [local EXCEPT ![p].used = @ + 1]
  /\ claimed' = [claimed EXCEPT ![p][k] = "ran"]
  /\ runs' = [runs EXCEPT ![k] = @ + 1]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, plain, holds, journal, journalClosed, notRun>>

Record(p, k) ==
  /\ alive[p] /\ ~local[p].lost
  /\ claimed[p][k] = "ran"
  /\ journal[k] = [state |-> "running", owner |-> p] /\ ~journalClosed[p]
  /\ journal' = [journal EXCEPT ![k].state = "done"]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, plain, holds, journalClosed, claimed, runs, notRun>>

LearnRecorded(p, k) ==
  /\ alive[p]
  /\ claimed[p][k] = "ran"
  /\ journal[k] = [state |-> "done", owner |-> p]
  /\ claimed' = [claimed EXCEPT ![p][k] = "done"]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, plain, holds, journal, journalClosed, runs, notRun>>

\* The caller is told "not run": nothing was sent yet, and this attempt never will be.
Refuse(p, k) ==
  /\ alive[p] /\ ~notRun[p][k]
  /\ \/ claimed[p][k] \in {"no", "yes"}
     \/ Fault = "notRunAfterDispatch" /\ claimed[p][k] = "ran"
  /\ notRun' = [notRun EXCEPT ![p][k] = TRUE]
  /\ claimed' = [claimed EXCEPT ![p][k] = "refused"]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, plain, holds, journal, journalClosed, runs>>

ReleaseClaim(p, k) ==
  /\ alive[p] /\ ~journalClosed[p]
  /\ claimed[p][k] = "refused"
  /\ journal[k] = [state |-> "running", owner |-> p]
  /\ journal' = [journal EXCEPT ![k] = [state |-> "none", owner |-> "none"]]
  /\ UNCHANGED <<limit, toppedUp, closedSpent, share, alive, local, plain, holds, journalClosed, claimed, runs, notRun>>

Next ==
  \/ TopUp
  \/ \E p \in Processes :
       \/ Grant(p) \/ LearnGrant(p) \/ Settle(p) \/ HandOver(p) \/ LearnLost(p) \/ PostHeld(p)
       \/ Crash(p) \/ Close(p) \/ CloseJournal(p) \/ Sweep(p) \/ ReleaseHeld(p) \/ GiveRestBack(p)
       \/ \E r \in Plain : Dispatch(p, r) \/ Bill(p, r) \/ Answer(p, r)
       \/ \E k \in Keyed :
            Claim(p, k) \/ LearnClaim(p, k) \/ Run(p, k) \/ Record(p, k) \/ LearnRecorded(p, k) \/ Refuse(p, k)
              \/ ReleaseClaim(p, k)

Spec == Init /\ [][Next]_vars

(* ---- what must always hold ---- *)

Answered(p) == Cardinality({r \in Plain : plain[r].at = p /\ plain[r].state = "answered"})
Done(p) == Cardinality({k \in Keyed : journal[k] = [state |-> "done", owner |-> p]})
Billed(p) == local[p].spent

GrantsWithinLimit == Free >= 0

TopUpsCountOnce == limit <= InitialLimit + 1

AnswersWithinLimit == Sum([p \in Processes |-> Answered(p) + Done(p)], Processes) <= limit

DispatchedWithinLimit ==
  Reclaim = "operator" =>
    Cardinality({r \in Plain : plain[r].state # "new"}) + Sum(runs, Keyed) <= limit

BilledAtMostOnce == \A p \in Processes : share[p].spent <= Billed(p) /\ share[p].keyed <= Done(p)

\* Once a share is gone nothing can be added to it, so every answer that was given must be in it.
BilledExactlyOnce ==
  \A p \in Processes : share[p].state = "gone" => share[p].spent >= Answered(p) /\ share[p].keyed = Done(p)

RunsAtMostOnce == \A k \in Keyed : runs[k] <= 1

NotRunStaysTrue ==
  \A k \in Keyed : (\A p \in Processes : notRun[p][k]) => runs[k] = 0
=============================================================================
