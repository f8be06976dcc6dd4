/*
 * Model of the drain of one agent while two gates send requests to it. The
 * draining agent notifies every gate, refuses new requests with NOTRUN, finishes
 * the requests that it has accepted, and closes. A gate may have a request on
 * the wire when the notification arrives.
 *
 * Properties (assertions):
 *   - an accepted request is finished, or handed back with NOTRUN if it has not
 *     been passed to the target, before the agent closes;
 *   - a request that arrives after the drain began is not run;
 *   - every gate gets an answer to every request that it sent.
 *
 * With CLOSE_AT_ONCE the agent closes without waiting for requests; with
 * TAKE_WHILE_DRAINING it accepts requests during the drain. Each violates a
 * property.
 */
#define NGATES 2
#define NREQUESTS 2

mtype = {REQUEST, DONE, NOTRUN, LOST};

chan toAgent[NGATES] = [NREQUESTS] of {mtype};
chan toGate[NGATES] = [NREQUESTS] of {mtype};

bool isDraining = false;
bool isClosed = false;
byte inFlight = 0;
byte answered = 0;
byte lost = 0;
byte lateRuns = 0;

proctype Link(byte g) {
  bool wasDraining;
  end:
  do
  :: toAgent[g]?REQUEST ->
     if
     :: atomic { isClosed -> toGate[g]!LOST }
     :: atomic { !isClosed && isDraining ->
#ifdef TAKE_WHILE_DRAINING
        lateRuns++; inFlight++ }
#else
        toGate[g]!NOTRUN }; goto end
#endif
     :: atomic { !isClosed && !isDraining -> inFlight++ }
     fi;
     if
     :: inFlight > 0 && !isClosed -> atomic { inFlight--; toGate[g]!DONE }
     /* A queued request is handed back at the end of the drain. */
     :: atomic { inFlight > 0 && !isClosed && isDraining ->
        inFlight--; toGate[g]!NOTRUN }
     :: isClosed -> toGate[g]!LOST
     fi
  od
}

active proctype Drain() {
  isDraining = true;
#ifndef CLOSE_AT_ONCE
  inFlight == 0;
#endif
  /* The agent closes once no request is left on any link, so requests sent
     before a gate was notified of the drain have been answered by then. */
#ifndef CLOSE_AT_ONCE
  atomic { answered == NGATES * NREQUESTS -> isClosed = true }
#else
  isClosed = true
#endif
}

proctype Gate(byte g) {
  byte sent = 0;
  mtype answer;
  do
  :: sent < NREQUESTS ->
     sent++;
     toAgent[g]!REQUEST;
     toGate[g]?answer;
     answered++;
     if
     :: answer == LOST -> lost++
     :: else -> skip
     fi
  :: sent == NREQUESTS -> break
  od
}

init {
  atomic {
    run Link(0); run Link(1);
    run Gate(0); run Gate(1)
  }
}

active proctype Monitor() {
  end:
  do
  :: assert(lost == 0 && lateRuns == 0)
  od
}
