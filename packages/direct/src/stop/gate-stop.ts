/** The stop of a gate, and the requests that are open meanwhile. */
import {RequestTable} from './request-table.js';
import {StopRecord} from './stop-record.js';
import type {OpenRequest} from './open-request.js';
import type {StopAction, StopRecordOptions} from './stop-record.js';

/**
 * Stop of one gate. Until it begins, it only observes the requests.
 *
 * @example
 * stop.observe(request);
 * stop.begin(performance.now() + 7500);
 */
export class GateStop {
  private readonly requests = new RequestTable();
  private readonly record: StopRecord;
  /** Time at which open requests are broken off, in ms; Infinity before a stop. */
  private endsAt = Infinity;

  constructor(private readonly options: StopRecordOptions) {
    this.record = new StopRecord(options);
  }

  /** Observes a request that has just arrived until its answer is complete. */
  observe(request: OpenRequest): void {
    this.requests.add(request);
  }

  /**
   * Begins the stop.
   *
   * @param endsAt - Time at which open requests are broken off, in ms.
   */
  begin(endsAt: number): void {
    this.endsAt = endsAt;
    for (const request of this.requests.list()) this.add(request, 'kept');
  }

  /** Records the requests that end with the process. */
  recordCut(): void {
    for (const request of this.requests.list()) this.add(request, 'cut');
  }

  private add(request: OpenRequest, action: StopAction): void {
    this.record.add(request, {
      action,
      place: request.place,
      predictedEndMs: request.forwarded?.estimateEndMs(),
      graceLeftMs: this.endsAt - this.options.readNow(),
    });
  }
}
