/** One caller request that a gate holds, with the place where it waits. */
import type {ServerResponse} from 'node:http';

/**
 * Where a request waits:
 * - `body`: for the rest of its body;
 * - `gate`: for a target, such as the connection to its home;
 * - `agent`: in the queue of an agent or at its target, without an answer yet;
 * - `stream`: its answer has begun;
 * - `caller`: its answer is whole, and its caller has not read all of it.
 */
export type RequestPlace = 'body' | 'gate' | 'agent' | 'stream' | 'caller';

/** What a stop did with a request. */
export type StopAction = 'kept' | 'refused' | 'finished' | 'cut';

/**
 * Holds the state of one request for a stop of its gate. A request that is
 * handed back is sent to no target any more, and leaves the queue of an agent;
 * a request that is cut is also cancelled at its target.
 *
 * @example
 * const held = new HeldRequest('gate-1-7', res);
 * held.handedBack.addEventListener('abort', leaveQueue);
 */
export class HeldRequest {
  readonly arrivedAt = Date.now();
  /** Longest wait for an agent's verdict once the request is cut, in ms. */
  verdictWaitMs = 0;
  /** How the request ended, if the stop ended it. */
  endedAs: StopAction | undefined;
  private stoppedIn: RequestPlace | undefined;
  private waitsIn: 'body' | 'gate' | 'agent' = 'body';
  private readEndAt: (() => number | undefined) | undefined;
  private readonly handBackController = new AbortController();
  private readonly cutController = new AbortController();

  constructor(
    readonly requestId: string,
    private readonly res: Pick<ServerResponse, 'headersSent' | 'writableEnded'>,
  ) {}

  get place(): RequestPlace {
    if (this.res.writableEnded) return 'caller';
    return this.res.headersSent ? 'stream' : this.waitsIn;
  }

  /** Place at which the stop ended the request, else where it is now. */
  get stopPlace(): RequestPlace {
    return this.stoppedIn ?? this.place;
  }

  /** Aborted when the request is handed back. */
  get handedBack(): AbortSignal {
    return this.handBackController.signal;
  }

  /** Aborted when the request must end. */
  get cut(): AbortSignal {
    return this.cutController.signal;
  }

  /** Predicted end, in epoch ms; undefined while it is not known. */
  get predictedEndAt(): number | undefined {
    return this.readEndAt?.();
  }

  setPlace(place: 'body' | 'gate' | 'agent'): void {
    this.waitsIn = place;
  }

  /** Sets how the end of the request is predicted. */
  setPrediction(readEndAt: () => number | undefined): void {
    this.readEndAt = readEndAt;
  }

  /** Hands the request back unless its target runs it. */
  handBack(): void {
    this.stoppedIn ??= this.place;
    this.handBackController.abort();
  }

  /** Ends the request wherever it is. */
  end(verdictWaitMs: number): void {
    this.verdictWaitMs = verdictWaitMs;
    this.handBack();
    this.cutController.abort();
  }

  /** Resolves when the request is handed back. */
  waitHandedBack(): Promise<void> {
    return waitAborted(this.handedBack);
  }
}

/**
 * Resolves when `signal` is aborted.
 *
 * @example
 * await Promise.race([work, waitAborted(signal)]);
 */
export function waitAborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve =>
    signal.addEventListener('abort', () => resolve(), {once: true}),
  );
}
