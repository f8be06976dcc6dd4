/**
 * Lets the event loop read what has arrived before a process goes on. Data on
 * sockets, new connections and disconnects are seen only between two turns.
 */
import type {Server} from 'node:net';

/**
 * Event loop iterations without a new connection after which all received data
 * has been read. Node accepts one connection per iteration: the first iteration
 * may already be under way, and the last one reads the requests of the
 * connection accepted before it.
 */
const IDLE_ITERATIONS = 3;

/** Time for which new connections prolong a wait by default, in ms. */
const DEFAULT_MAX_WAIT_MS = 50;

/** A wait for pending reads. */
interface PendingWait {
  /** Iteration in which the wait began. */
  readonly since: number;
  readonly giveUpAt: number;
  readonly resolve: () => void;
}

/**
 * Waits until servers have read all data that has arrived, including data on
 * connections that are not accepted yet.
 *
 * @example
 * const reads = new PendingReads();
 * reads.observe(server);
 * await reads.wait();
 */
export class PendingReads {
  /** Number of the running event loop iteration; counted during a wait. */
  private iteration = 0;
  /** Iteration in which a connection was last accepted. */
  private connectedIn = 0;
  private waits: readonly PendingWait[] = [];
  private readonly recordConnection = () => {
    this.connectedIn = this.iteration;
  };

  /**
   * @param maxWaitMs - Time after which a wait goes on no longer because of new
   *   connections, in ms: callers may keep connecting.
   */
  constructor(private readonly maxWaitMs = DEFAULT_MAX_WAIT_MS) {}

  /** Observes the connections of a server. */
  observe(server: Server): void {
    server.on('connection', this.recordConnection);
  }

  /** Stops observing a server. */
  stop(server: Server): void {
    server.off('connection', this.recordConnection);
  }

  /** Waits until the data that has arrived by now has been read. */
  wait(): Promise<void> {
    return new Promise(resolve => {
      const giveUpAt = performance.now() + this.maxWaitMs;
      if (this.waits.length === 0) setImmediate(() => this.endIteration());
      this.waits = [...this.waits, {since: this.iteration, giveUpAt, resolve}];
    });
  }

  private endIteration(): void {
    this.iteration++;
    const now = performance.now();
    const waits = this.waits;
    // After a suspension the limit has passed although nothing has been read.
    const isDone = ({since, giveUpAt}: PendingWait) =>
      this.iteration - since >= IDLE_ITERATIONS &&
      (now >= giveUpAt || this.iteration - this.connectedIn >= IDLE_ITERATIONS);
    this.waits = waits.filter(wait => !isDone(wait));
    if (this.waits.length > 0) setImmediate(() => this.endIteration());
    for (const wait of waits) if (isDone(wait)) wait.resolve();
  }
}
