/**
 * The stop of a gate: decides for each open request whether it can still end here,
 * and sees to it that none is left without an answer.
 */
import {RequestTable} from './request-table.js';
import {StopRecord} from './stop-record.js';
import type {OpenRequest, RequestPlace} from './open-request.js';
import type {StopAction, StopRecordOptions} from './stop-record.js';

/** Interval at which requests that wait are looked at again, in ms. */
const JUDGE_INTERVAL_MS = 250;

/** Maximum length of a stack trace in a log line, in characters. */
const STACK_CHARS = 1500;

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
  /** Requests that the stop has ended itself. */
  private readonly ended = new WeakSet<OpenRequest>();
  /** Time at which open requests are ended, in ms; Infinity before a stop. */
  private endsAt = Infinity;
  private judgedAt = -Infinity;
  /** Whether open requests have been ended. */
  private hasEnded = false;

  constructor(private readonly options: StopRecordOptions) {
    this.record = new StopRecord(options);
    this.requests.onClose(closed =>
      this.tryStep(closed, request => this.recordEnd(request)),
    );
  }

  /**
   * Observes a request that has just arrived until its answer is complete. Refuses
   * it if open requests have been ended, as the rest of its body may come too late.
   */
  observe(request: OpenRequest): void {
    this.requests.add(request);
    if (this.hasEnded) this.tryStep(request, () => this.handBack(request));
  }

  /**
   * Begins the stop: requests that can't end in time are handed back at once.
   *
   * @param endsAt - Time at which open requests are ended, in ms.
   */
  begin(endsAt: number): void {
    this.endsAt = endsAt;
    this.judgedAt = this.options.readNow();
    this.runForEach(request => {
      if (!this.judge(request)) this.add(request, 'kept', request.place);
    });
  }

  /** Looks again at the requests that wait, at an interval. */
  advance(): void {
    const now = this.options.readNow();
    if (now - this.judgedAt < JUDGE_INTERVAL_MS) return;
    this.judgedAt = now;
    this.runForEach(request => void this.judge(request));
  }

  /**
   * Hands a request back if the gate stops before its predicted end; returns false
   * if it goes on here.
   *
   * @param endMs - Time until the answer is complete, in ms.
   * @default as its handler estimates
   */
  judge(request: OpenRequest, endMs?: number): boolean {
    if (this.endsAt === Infinity) return false;
    const predictedMs = endMs ?? request.handler.estimateEndMs();
    if (predictedMs === undefined || predictedMs <= this.readLeftMs())
      return false;
    return this.handBack(request, predictedMs);
  }

  /** Refuses all requests whose bodies have not arrived. */
  handBackUnfinished(): void {
    this.runForEach(request => {
      if (request.place === 'body') this.handBack(request);
    });
  }

  /**
   * Counts the requests that have no answer, or whose answers their callers have not
   * read; those that were refused before their bodies had arrived do not count.
   */
  countWaiting(): number {
    return this.requests.list().filter(({caller}) => !caller.isRefused).length;
  }

  /**
   * Refuses a request, so that another gate serves it; returns false if it may have
   * run.
   */
  handBack(request: OpenRequest, predictedEndMs?: number): boolean {
    const {place} = request;
    if (!request.handler.handBack()) return false;
    this.ended.add(request);
    this.add(request, 'refused', place, predictedEndMs);
    return true;
  }

  /**
   * Answers all requests whose answers have not begun, and breaks begun streams
   * off. What is left are answers that their callers read.
   */
  endOpen(): void {
    this.hasEnded = true;
    this.runForEach(
      request => this.endRequest(request),
      ({caller}) => {
        if (!caller.isOver) caller.refuse(502, 'outcome_unknown');
      },
    );
  }

  /**
   * Breaks all answers off whose callers have not read them; returns their number.
   */
  dropOpen(): number {
    const {length} = this.requests.list();
    this.runForEach(request => {
      const isAnswered = this.ended.has(request) || request.caller.isRefused;
      if (!isAnswered) this.add(request, 'cut', request.place);
    });
    this.runForEach(request => {
      this.ended.add(request);
      request.caller.drop();
    });
    return length;
  }

  private endRequest(request: OpenRequest): void {
    const {place} = request;
    if (place === 'caller' || this.ended.has(request)) return;
    if (this.handBack(request)) return;
    request.handler.endUnfinished();
    if (place === 'answer' && !request.caller.isDropped) return;
    this.ended.add(request);
    this.add(request, place === 'answer' ? 'cut' : 'refused', place);
  }

  /**
   * Runs a step for each open request. An error of one request is logged, so that
   * the others do not lose their answers.
   *
   * @param recover - What is left to do for a request that raised an error.
   */
  private runForEach(
    step: (request: OpenRequest) => void,
    recover: (request: OpenRequest) => void = () => undefined,
  ): void {
    for (const request of this.requests.list()) {
      if (this.tryStep(request, step)) continue;
      this.tryStep(request, recover);
    }
  }

  /** Runs a step for one request; returns false if it raised an error. */
  private tryStep(
    request: OpenRequest,
    step: (request: OpenRequest) => void,
  ): boolean {
    try {
      step(request);
      return true;
    } catch (error) {
      const {message, stack} = error as Error;
      this.options.log.error('stop_failed', {
        requestId: request.requestId,
        reason: message,
        stack: stack?.slice(0, STACK_CHARS),
      });
      return false;
    }
  }

  private readLeftMs(): number {
    return this.endsAt - this.options.readNow();
  }

  private recordEnd(request: OpenRequest): void {
    if (this.endsAt === Infinity || this.ended.has(request)) return;
    if (request.caller.isFlushed)
      this.add(request, 'finished', request.place, 0);
  }

  private add(
    request: OpenRequest,
    action: StopAction,
    place: RequestPlace,
    predictedEndMs = request.handler.estimateEndMs(),
  ): void {
    const graceLeftMs = this.readLeftMs();
    this.record.add(request, {action, place, predictedEndMs, graceLeftMs});
  }
}
