/** Admission queues of the services of one gate. */
import type {AdmissionQueue} from './admission-queue.js';

/**
 * Admission queues of one gate, one for each service of engines.
 *
 * @example
 * queues.find('chat').enter(entry, signal);
 */
export class AdmissionQueues {
  private readonly queues = new Map<string, AdmissionQueue>();

  constructor(
    private readonly createQueue: (service: string) => AdmissionQueue,
  ) {}

  /** Finds the queue of a service; creates it on first use. */
  find(service: string): AdmissionQueue {
    let queue = this.queues.get(service);
    if (queue === undefined) {
      queue = this.createQueue(service);
      this.queues.set(service, queue);
    }
    return queue;
  }

  /** Advances every queue that is not empty. */
  advance(): void {
    for (const queue of this.queues.values())
      if (queue.length > 0) queue.advance();
  }
}
