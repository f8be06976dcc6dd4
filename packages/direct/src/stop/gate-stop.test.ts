import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {createCounters} from '@nutmeggauge/core';
import {expect} from 'earl';
import {CallerResponse} from '../forward/caller-response.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {GateStop} from './gate-stop.js';
import {OpenRequest, StoppableRequest} from './open-request.js';
import type {RequestPlace} from './open-request.js';

/** What a stop asks of a request. */
type Question = 'place' | 'estimateEndMs' | 'handBack' | 'endUnfinished';

const QUESTIONS: readonly Question[] = [
  'place',
  'estimateEndMs',
  'handBack',
  'endUnfinished',
];

/** Request at a target, which fails when it is asked one question. */
class FailingRequest extends StoppableRequest {
  readonly asked: Question[] = [];

  constructor(private readonly failing?: Question) {
    super();
  }

  override get place(): RequestPlace {
    this.ask('place');
    return 'target';
  }

  override estimateEndMs(): number {
    this.ask('estimateEndMs');
    return 5000;
  }

  override handBack(): boolean {
    this.ask('handBack');
    return false;
  }

  override endUnfinished(): void {
    this.ask('endUnfinished');
  }

  private ask(question: Question): void {
    this.asked.push(question);
    if (question === this.failing) throw new Error(`no ${question}`);
  }
}

function openRequest(id: string, handler: StoppableRequest): OpenRequest {
  const response = new ServerResponse(new IncomingMessage(new Socket()));
  return new OpenRequest(id, new CallerResponse(response, 1000), 0, handler);
}

describe('stop of a gate with a request that raises an error', () => {
  for (const question of QUESTIONS)
    it(`goes on with the others if "${question}" fails`, () => {
      // Guards against an error of one request that ends the stop for all.
      const lines: string[] = [];
      const output = new Writable({
        write: (chunk, _, done) => {
          lines.push(String(chunk));
          done();
        },
      });
      let now = 0;
      const readNow = () => now;
      const log = createDecisionLog({proc: 'g', output, readWallMs: readNow});
      const stop = new GateStop({log, counters: createCounters(), readNow});
      const sound = new FailingRequest();
      const bad = openRequest('bad', new FailingRequest(question));
      const good = openRequest('good', sound);
      for (const request of [bad, good]) stop.observe(request);
      stop.begin(1000);
      now = 300;
      stop.advance();
      expect(sound.asked.filter(asked => asked === 'handBack').length).toEqual(
        2,
      );
      now = 1000;
      stop.endOpen();
      expect(sound.asked.includes('endUnfinished')).toEqual(true);
      // Its handler cannot tell whether a target has the request.
      expect(bad.caller.status).toEqual(502);
      expect(stop.dropOpen()).toEqual(2);
      expect([bad.caller.isDropped, good.caller.isDropped]).toEqual([
        true,
        true,
      ]);
      const failures = lines.filter(line => line.includes('stop_failed'));
      expect(failures.length > 0).toEqual(true);
      expect(failures.every(line => line.includes('"bad"'))).toEqual(true);
    });
});
