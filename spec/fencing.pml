/*
 * Model of orders to one engine from two agents of the same slot: an old agent
 * that holds an outdated record and may be suspended at any point, and its
 * replacement, which holds the newest record. The operator publishes version 2
 * while the old agent still holds version 1. The engine applies every order
 * that arrives; with REFUSE it rejects fences (fencing tokens) lower than the
 * highest that it has seen.
 *
 * Before an order, an agent confirms with the configuration service that its
 * record is the newest. The agent may be suspended between the confirmation and
 * the order, so an engine that ignores fences can be set back temporarily; the
 * next periodic order of the replacement corrects this.
 *
 * Properties (LTL):
 *   - settles: the engine reaches the newest version and stays there;
 *   - refused (REFUSE only): once at version 2, the engine never goes back.
 *
 * NO_ROUNDS removes the periodic orders: an outdated order then stays in force.
 */
byte published = 1;
byte engine = 0;
byte highestFence = 0;
bool isOldDone = false;

inline order(fence) {
  atomic {
    if
#ifdef REFUSE
    :: fence < highestFence -> skip
    :: else -> engine = fence; highestFence = fence
#else
    :: engine = fence
#endif
    fi
  }
}

active proctype Operator() {
  published = 2
}

active proctype OldAgent() {
  byte confirmed;
  confirmed = published;                        /* asks the configuration service */
  if
  :: confirmed == 1 -> order(1)                 /* the agent may be suspended before this order */
  :: else -> skip                               /* the record is outdated: no order */
  fi;
  isOldDone = true
}

active proctype NewAgent() {
  published == 2;
#ifdef NO_ROUNDS
  order(2)
#else
  do
  :: engine != 2 -> order(2)
  od
#endif
}

ltl settles { <> [] (engine == 2) }
#ifdef REFUSE
ltl refused { [] ((engine == 2) -> [] (engine == 2)) }
#endif
