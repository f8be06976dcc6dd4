/*
 * Model of an at-most-once request through a direct gate. The gate may send
 * the request to a second target only if the first provably did not run it:
 * the connection was never opened, or the target answered so. A target runs
 * the request, refuses it, or dies before or after running it; a request that
 * was sent may still run after the gate has stopped waiting for the answer.
 *
 * Properties (assertions):
 *   - the request runs at most once;
 *   - after the caller was told "not run", the request has not run and never will.
 *
 * With RETRY_AFTER_RESET the gate retries after a connection reset; with
 * PROMISE_AFTER_RESET it reports a reset as "not run". Each violates a property.
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
     :: atomic { runs++; toGate[t]!RESET }    /* runs, but the answer is lost */
     :: toGate[t]!RESET                       /* dies before the run */
     :: toGate[t]!RESET; runs++               /* is cut off and runs the request later */
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
