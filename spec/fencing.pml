/*
 * Orders to one engine from two agents of the same slot: one that holds an
 * old record and may pause at any point, and its replacement with the newest
 * record. The operator publishes version 2 while the old agent still holds
 * version 1. The engine carries out what arrives; an engine of mode REFUSE
 * turns down fences lower than the highest it has seen.
 *
 * Before an order an agent confirms with the configuration service that its
 * record is the newest. It may pause between the confirmation and the order,
 * so an engine that ignores fences can still be set back for a moment; the
 * replacement's next round puts it right.
 *
 * Properties (LTL):
 *   - settles: the engine ends up at the newest version and stays there;
 *   - refused (REFUSE only): once set by version 2 it never goes back.
 *
 * NO_ROUNDS takes the rounds away: the late order then stands for good.
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
  confirmed = published;                        /* the service is asked */
  if
  :: confirmed == 1 -> order(1)                 /* a pause may lie before this */
  :: else -> skip                               /* its record is old: no order */
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
