/**
 * Crowds of callers that keep no limits: bodies and trailers that never end, in chunks
 * of any size, and bodies far over the limit.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {CrowdCaller, buildCallHeaders} from '@nutmeggauge/platform';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {DEADLINE_MS} from './callers.js';
import type {CrowdRequest} from '@nutmeggauge/platform';
import type {SoakHarness} from './soak-harness.js';

/** Added to a seed, so that the callers leave its faults unchanged. */
const SEED_OFFSET = 0x7a11;

/** Connections of one crowd. */
const CROWD_SIZE = 400;

/** Longest time for which a crowd stays open, in ms. */
const MAX_STAY_MS = 2500;

/** Body just below the limit of the soak's configuration, in bytes. */
const BODY_BYTES = 999_000;

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

/** What the callers of a crowd send behind their heads. */
const FORMS: ReadonlyArray<Omit<CrowdRequest, 'end'>> = [
  {
    start: `Content-Length: ${BODY_BYTES}\r\n\r\n`,
    piece: 'a'.repeat(1000),
    count: BODY_BYTES / 1000 - 1,
  },
  {
    start: CHUNKED,
    piece: `fa0\r\n${'a'.repeat(4000)}\r\n`,
    count: BODY_BYTES / 4000 - 1,
  },
  {start: CHUNKED, piece: '1\r\na\r\n', count: 50_000},
  {
    start: 'Content-Length: 1000000000000\r\n\r\n',
    piece: 'a'.repeat(65_536),
    count: 100,
  },
  {start: `${CHUNKED}0\r\n`, piece: 'X-A: a\r\n', count: 10_000},
  {start: '', piece: 'X-A: a\r\n', count: 1000},
  {start: CHUNKED, piece: '1\r\na\r\n', count: Infinity, intervalMs: 50},
];

/** Options of the crowds of one run. */
export interface UnrulyCallersOptions {
  readonly seed: number;
  /** Number of crowds at a time. */
  readonly count: number;
  /** End of the load on the monotonic clock, in ms. */
  readonly endsAt: number;
}

/**
 * Runs the crowds, each against one gate after the other, until the load ends.
 *
 * @example
 * await runUnrulyCallers(harness, {seed: 7, count: 3, endsAt});
 */
export async function runUnrulyCallers(
  harness: SoakHarness,
  {seed, count, endsAt}: UnrulyCallersOptions,
): Promise<void> {
  const runCrowds = async (index: number) => {
    const random = xoroshiro128plus(seed + SEED_OFFSET + index);
    const draw = (limit: number) => uniformInt(random, 0, limit - 1);
    while (performance.now() < endsAt) {
      const {endpoints} = harness;
      const {port} = endpoints[draw(endpoints.length)];
      const form = FORMS[draw(FORMS.length)];
      const callers = Array.from(
        {length: CROWD_SIZE},
        (_, i) =>
          new CrowdCaller(
            {host: '127.0.0.1', port},
            {
              ...form,
              start: `${renderHead(harness.key, `unruly${index}-${i}`)}${form.start}`,
            },
          ),
      );
      await sleep(1 + draw(MAX_STAY_MS));
      for (const caller of callers) caller.close();
    }
  };
  await Promise.all(Array.from({length: count}, (_, i) => runCrowds(i)));
}

function renderHead(key: string, requestId: string): string {
  const fields = buildCallHeaders({
    requestId,
    key,
    deadlineMs: DEADLINE_MS,
    promptTokens: undefined,
  });
  const lines = Object.entries(fields).map(([name, v]) => `${name}: ${v}`);
  return ['POST /unsafe/x HTTP/1.1', ...lines, ''].join('\r\n');
}
