import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {v7 as uuidv7} from 'uuid';
import {FAULT_WORKLOAD} from '../defaults.js';
import {sendCompletion, sendOrder} from '../load/client.js';
import {readExecutions} from '../load/executions.js';
import {formatSummary, isClean, summarizeRun} from '../load/summary.js';
import {postJson, streamCompletion, waitUntil} from '../test/stack.js';
import {startSteppedCluster} from '../test/stepped-cluster.js';
import type {CallerResult} from '../load/client.js';
import type {RunSummary} from '../load/summary.js';
import type {PlannedRequest} from '../load/workload.js';
import type {Step, StepFault, SteppedCluster} from '../test/stepped-cluster.js';

/** Number of tokens of each answer. */
const TOKEN_COUNT = 4;

const PROMPT = 'g'.repeat(4000);

/** Time from sending a request to its deadline, in ms. */
const DEADLINE_MS = 30_000;

/** Number of tokens of an answer whose caller leaves before its end. */
const LONG_TOKEN_COUNT = 400;

const AUTH = {authorization: `Bearer ${FAULT_WORKLOAD.orderKeys[0]}`};

const AGENT_MESSAGES = ['dispatch', 'accepted', 'load', 'outcome'];
const STREAM_MESSAGES = [
  ...AGENT_MESSAGES,
  ...['chunk 0', 'chunk 1', `chunk ${TOKEN_COUNT - 1}`],
  ...['request', 'token 0', `token ${TOKEN_COUNT - 1}`, 'done'],
];
const ORDER_MESSAGES = [...AGENT_MESSAGES, 'request', 'response'];

const FAULTS: readonly StepFault[] = [
  {kind: 'kill', process: 'agent'},
  {kind: 'kill', process: 'target'},
  {kind: 'pause', process: 'agent'},
  {kind: 'pause', process: 'target'},
  {kind: 'pause', process: 'gate'},
];

/** Callers of one gate, and what they got since the last summary. */
class Callers {
  private plan: PlannedRequest[] = [];
  private results: CallerResult[] = [];
  private lastIndex = 0;

  constructor(private readonly cluster: SteppedCluster) {}

  async sendCompletion(): Promise<CallerResult> {
    const index = ++this.lastIndex;
    this.plan.push({
      kind: 'generate',
      index,
      atMs: 0,
      key: FAULT_WORKLOAD.keys[0],
      promptTokens: PROMPT.length / 4,
      hasSharedPrefix: false,
      maxNewTokens: TOKEN_COUNT,
    });
    return this.record(
      await sendCompletion(this.options, index, PROMPT, TOKEN_COUNT),
    );
  }

  async sendOrder(idempotencyKey: string): Promise<CallerResult> {
    const index = ++this.lastIndex;
    const [key] = FAULT_WORKLOAD.orderKeys;
    this.plan.push({
      kind: 'order',
      index,
      atMs: 0,
      key,
      orderName: idempotencyKey,
    });
    return this.record(await sendOrder(this.options, index, idempotencyKey));
  }

  /**
   * Waits until new orders are answered: an agent that has been restarted refuses
   * keys that may be older than its ledger.
   */
  async waitForOrders(): Promise<void> {
    await waitUntil(async () => {
      const {verdict} = await this.sendOrder(uuidv7());
      return verdict === 'answered';
    }, DEADLINE_MS);
  }

  /** Summarizes the requests since the last summary as the demo does. */
  summarize(): RunSummary {
    const {plan, results} = this;
    this.plan = [];
    this.results = [];
    const {runDir, unexpectedExits} = this.cluster;
    return summarizeRun(plan, results, readExecutions(runDir), unexpectedExits);
  }

  private get options() {
    const [key] = FAULT_WORKLOAD.orderKeys;
    const {gateUrl} = this.cluster;
    return {gateUrl, key, deadlineMs: DEADLINE_MS, distanceMs: 0};
  }

  private record(result: CallerResult): CallerResult {
    this.results.push(result);
    return result;
  }
}

describe('request of the demo beside a fault between two of its messages', () => {
  let cluster: SteppedCluster;
  let callers: Callers;
  before(async () => {
    cluster = await startSteppedCluster();
    callers = new Callers(cluster);
  });
  after(async () => {
    await cluster.close();
  });

  /** Waits until the fault has begun, ends it, and checks all requests. */
  async function finishStep(step: Readonly<Step>): Promise<void> {
    // A load report may follow the end of the request.
    await waitUntil(() => step.hasBegun, DEADLINE_MS);
    await cluster.endFaults();
    const summary = callers.summarize();
    expect(isClean(summary) ? 'clean' : formatSummary(summary)).toEqual(
      'clean',
    );
  }

  for (const {kind, process} of FAULTS) {
    for (const message of STREAM_MESSAGES)
      it(`gives a whole stream at a ${kind} of the ${process} before "${message}"`, async () => {
        // Guards against an answer that is resumed behind its last token.
        const step = cluster.planFault(message, {kind, process});
        const {verdict} = await callers.sendCompletion();
        await finishStep(step);
        expect(verdict).toEqual('answered');
      });

    for (const message of ORDER_MESSAGES)
      it(`runs a keyed order once at a ${kind} of the ${process} before "${message}"`, async () => {
        // Guards against a repeated order that runs again or is lost.
        await callers.waitForOrders();
        const key = uuidv7();
        const step = cluster.planFault(message, {kind, process});
        await Promise.all([callers.sendOrder(key), callers.sendOrder(key)]);
        await callers.sendOrder(key);
        await finishStep(step);
        await callers.sendOrder(key);
        await finishStep(step);
      });

    for (const message of ORDER_MESSAGES)
      it(`reports the end of a call at a ${kind} of the ${process} before "${message}"`, async () => {
        // Guards against a call whose caller gets no report.
        const step = cluster.planFault(message, {kind, process});
        const url = `${cluster.gateUrl}/v1/services/orders/read-stock`;
        const {status} = await postJson(url, {sku: 'kit'}, AUTH);
        await finishStep(step);
        expect([200, 502, 503]).toInclude(status);
      });

    it(`gives the next stream at a ${kind} of the ${process} before "cancel"`, async () => {
      // Guards against a canceled stream that disturbs the streams after it.
      const caller = new AbortController();
      const step = cluster.planFault('cancel', {kind, process});
      await streamCompletion(
        cluster.gateUrl,
        {model: 'chat', prompt: PROMPT, max_tokens: LONG_TOKEN_COUNT},
        AUTH,
        () => caller.abort(),
        caller.signal,
      ).catch(() => undefined);
      await waitUntil(() => step.hasBegun, DEADLINE_MS);
      const {verdict} = await callers.sendCompletion();
      await finishStep(step);
      expect(verdict).toEqual('answered');
    });
  }
});
