/*
 * One request that may run at most once on its way through a direct gate.
 * The gate may send it to a second target only where the first provably did
 * not run it: the connection was never opened, or the target says so. Targets
 * run a request, refuse it, or die before or after it has run; what was sent
 * may be run after the gate has given up on it.
 *
 * Properties (assertions):
 *   - it runs at most once;
 *   - a caller that was told "not run" is right, also later on.
 *
 * RETRY_AFTER_RESET and PROMISE_AFTER_RESET bring the faults back.
 */
#define NTARGETS 2
#define MAX_ATTEMPTS 2

mtype = {REQUEST, DONE, NOTRUN, RESET, UNOPENED, NONE};

chan toTarget[NTARGETS] = [1] of {mtype};
chan toGate[NTARGETS] = [1] of {mtype};

byte runs = 0;
mtype told = NONE;

proctype Target(byte t) {
  end:
  do
  :: toTarget[t]?REQUEST ->
     if
     :: toGate[t]!NOTRUN
     :: atomic { runs++; toGate[t]!DONE }
     :: atomic { runs++; toGate[t]!RESET }    /* ran, its answer is lost */
     :: toGate[t]!RESET                       /* died before it ran */
     :: toGate[t]!RESET; runs++               /* cut off, and runs it late */
     fi
  od
}

active proctype Gate() {
  byte sends = 0;
  byte t = 0;
  bool mayHaveRun = false;
  mtype answer = NONE;
  do
  :: t == NTARGETS || sends == MAX_ATTEMPTS -> break
  :: t < NTARGETS && sends < MAX_ATTEMPTS ->
     if
     :: answer = UNOPENED
     :: sends++; toTarget[t]!REQUEST; toGate[t]?answer
     fi;
     t++;
     if
     :: answer == DONE -> break
     :: answer == RESET -> mayHaveRun = true;
#ifndef RETRY_AFTER_RESET
        break
#endif
     :: else -> skip
     fi
  od;
  if
  :: answer == DONE -> told = DONE
#ifdef PROMISE_AFTER_RESET
  :: answer != DONE -> told = NOTRUN
#else
  :: answer != DONE && mayHaveRun -> told = RESET
  :: answer != DONE && !mayHaveRun -> told = NOTRUN
#endif
  fi
}

init { atomic { run Target(0); run Target(1) } }

active proctype Monitor() {
  end:
  do
  :: assert(runs <= 1 && !(told == NOTRUN && runs > 0))
  od
}
