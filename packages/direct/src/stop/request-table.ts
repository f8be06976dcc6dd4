/** Requests of one gate that have no complete answer yet. */
import type {OpenRequest} from './open-request.js';

/**
 * Open requests of one gate.
 *
 * @example
 * requests.add(request);
 * requests.list().map(({place}) => place); // ['body']
 */
export class RequestTable {
  private readonly requests = new Set<OpenRequest>();
  private readonly listeners: Array<(request: OpenRequest) => void> = [];

  /** Adds a request until its answer has been sent or dropped. */
  add(request: OpenRequest): void {
    this.requests.add(request);
    request.caller.onClose(() => {
      this.requests.delete(request);
      for (const listener of this.listeners) listener(request);
    });
  }

  /** Lists the open requests, oldest first. */
  list(): readonly OpenRequest[] {
    return [...this.requests];
  }

  /** Registers a listener for requests whose answer was sent or dropped. */
  onClose(listener: (request: OpenRequest) => void): void {
    this.listeners.push(listener);
  }
}
