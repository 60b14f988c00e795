--------------------------- MODULE SpendingBounds ---------------------------
(* One share of a budget, the router that spends it, and the router's successor on the same VM.                        *)
(* A change of the ledger carries a bound: a running total and the time of the VM's steady clock at which it was stated. *)
(* Changes may be executed late, out of order, or never, also after their answer was given up on; they may go through    *)
(* another router, which is the same. When the successor closes the share, no change sent before is executed any more.   *)
EXTENDS Integers, FiniteSets

CONSTANTS
  Granted,   \* tokens of the share
  Valid,     \* for how long a bound holds
  LastTick,  \* the clock stops here, to keep the states few
  MostBounds, \* and so many bounds are stated
  Fault      \* "none", or a fault that the checker must find

VARIABLES now, rebooted, alive, spent, stated, executed, inForce, known, startedAt, closedAt, left

vars == <<now, rebooted, alive, spent, stated, executed, inForce, known, startedAt, closedAt, left>>

Never == -100
NoBound == [usable |-> 0, at |-> Never]
Fresh(bound, time) == time - bound.at < Valid

Init ==
  /\ now = 0
  /\ rebooted = FALSE
  /\ alive = TRUE
  /\ spent = 0
  /\ stated = {}             \* bounds sent, as the router remembers them until they are answered
  /\ executed = {}           \* bounds sent that the store may still execute
  /\ inForce = NoBound       \* what the ledger holds
  /\ known = NoBound         \* what the router knows the ledger to hold
  /\ startedAt = Never
  /\ closedAt = Never
  /\ left = Granted          \* what the closed share still counts

\* A frozen process, or a suspended VM that counts no time, is one that takes no step.
Tick ==
  /\ now < LastTick
  /\ now' = now + 1
  /\ UNCHANGED <<rebooted, alive, spent, stated, executed, inForce, known, startedAt, closedAt, left>>

State(usable) ==
  /\ alive
  /\ Cardinality(stated) < 2
  /\ Cardinality(executed) < MostBounds
  /\ usable >= spent
  /\ LET bound == [usable |-> usable, at |-> now]
     IN /\ stated' = stated \union {bound}
        /\ executed' = executed \union {bound}
  /\ UNCHANGED <<now, rebooted, alive, spent, inForce, known, startedAt, closedAt, left>>

\* Sent again after silence. The bound keeps its time; a new time without the router's knowledge is the fault.
Repeat(bound) ==
  /\ alive
  /\ Fault = "timeOfRepeat"
  /\ bound \in stated
  /\ executed' = executed \union {[bound EXCEPT !.at = now]}
  /\ UNCHANGED <<now, rebooted, alive, spent, stated, inForce, known, startedAt, closedAt, left>>

Execute(bound) ==
  /\ closedAt = Never
  /\ bound \in executed
  \* Of two bounds of the same time the first one stays: a router may have learnt that it is in force.
  /\ LET replaces == \/ bound.at > inForce.at
                     \/ Fault = "equalTimeReplaces" /\ bound.at = inForce.at
                     \/ Fault = "olderBoundWins"
     IN inForce' = IF replaces THEN bound ELSE inForce
  /\ UNCHANGED <<now, rebooted, alive, spent, stated, executed, known, startedAt, closedAt, left>>

Learn(bound) ==
  /\ alive
  /\ bound \in stated
  /\ inForce.at >= bound.at
  /\ stated' = stated \ {bound}
  /\ known' = IF inForce.at >= known.at THEN inForce ELSE known
  /\ UNCHANGED <<now, rebooted, alive, spent, executed, inForce, startedAt, closedAt, left>>

MaySpend(total) ==
  /\ total <= Granted
  /\ Fresh(known, now) => total <= known.usable
  /\ Fault = "unansweredIgnored" \/ \A bound \in stated : Fresh(bound, now) => total <= bound.usable

Spend ==
  /\ alive
  /\ MaySpend(spent + 1)
  /\ spent' = spent + 1
  /\ UNCHANGED <<now, rebooted, alive, stated, executed, inForce, known, startedAt, closedAt, left>>

Crash ==
  /\ alive
  /\ alive' = FALSE
  /\ UNCHANGED <<now, rebooted, spent, stated, executed, inForce, known, startedAt, closedAt, left>>

\* The VM loses power: its clock starts anew. The boot's id tells, but for the fault of a platform that does not change it.
LosePower ==
  /\ ~alive
  /\ startedAt = Never
  /\ ~rebooted
  /\ rebooted' = TRUE
  /\ now' = 0
  /\ UNCHANGED <<alive, spent, stated, executed, inForce, known, startedAt, closedAt, left>>

Start ==
  /\ ~alive
  /\ startedAt = Never
  /\ startedAt' = now
  /\ UNCHANGED <<now, rebooted, alive, spent, stated, executed, inForce, known, closedAt, left>>

Close ==
  /\ startedAt # Never
  /\ closedAt = Never
  /\ closedAt' = now
  /\ LET sameBoot == ~rebooted \/ Fault = "bootNotChecked"
         fresh == Fresh(inForce, startedAt) \/ Fault = "ageNotChecked"
     IN left' = IF inForce # NoBound /\ sameBoot /\ fresh THEN inForce.usable ELSE Granted
  /\ UNCHANGED <<now, rebooted, alive, spent, stated, executed, inForce, known, startedAt>>

Next ==
  \/ Tick \/ Spend \/ Crash \/ LosePower \/ Start \/ Close
  \/ \E usable \in 0..Granted : State(usable)
  \/ \E bound \in executed : Execute(bound)
  \/ \E bound \in stated : Learn(bound) \/ Repeat(bound)

Spec == Init /\ [][Next]_vars

\* What is granted to others again was never spent.
SpentIsCounted == spent <= left
=============================================================================
