import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  TEST_AUTH,
  publishChatTargets,
  renderCompleteAnswer,
  startStack,
  streamCompletion,
  waitForGate,
} from '../test/stack.js';
import {startFrozenAgent} from '../test/frozen-agent.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Stack} from '../test/stack.js';

const TOKEN_LETTERS = ['a', 'b'];
const completionBody = {
  model: 'chat',
  prompt: 'r'.repeat(4000),
  max_tokens: 80,
};

/** Streams an answer and kills its engine after the fifth chunk. */
async function streamAndKillEngine(stack: Stack) {
  let busy = -1;
  let killed: Promise<void> | undefined;
  const result = await streamCompletion(
    stack.gateUrl,
    completionBody,
    TEST_AUTH,
    count => {
      if (count !== 5) return;
      busy = stack.engines.findIndex(e => e.scheduler.readLoad().running > 0);
      killed = stack.engines[busy].close();
    },
  );
  await killed;
  return {result, letter: TOKEN_LETTERS[busy]};
}

describe('stream whose engine dies in a resumable pool', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engine: i => ({tokenLetter: TOKEN_LETTERS[i]})});
  });
  after(async () => {
    await stack.close();
  });

  it('is resumed on another engine and continues the text of the first engine', async () => {
    // Guards against an answer that mixes the tokens of two runs.
    const {result, letter} = await streamAndKillEngine(stack);
    expect(result.done).toEqual(true);
    expect(result.text).toEqual(renderCompleteAnswer(80, letter));
  });
});

/**
 * Makes the first engine that answers close its connection instead of reporting
 * the end of the answer.
 */
function dropFirstEnd({engines}: Stack): void {
  let isDropped = false;
  const dropEnd = (_req: IncomingMessage, res: ServerResponse) => {
    if (isDropped) return;
    isDropped = true;
    const write = res.write.bind(res) as (text: string) => boolean;
    res.write = (text: string) => {
      if (!text.startsWith('event: done')) return write(text);
      // The tokens before the end are sent first.
      setImmediate(() => res.destroy());
      return true;
    };
    res.end = () => res;
  };
  for (const {server} of engines) server.prependListener('request', dropEnd);
}

describe('stream whose engine dies after its last token', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack();
  });
  after(async () => {
    await stack.close();
  });

  it('ends with the tokens that were asked for', async () => {
    // Guards against a second engine that adds a token to a whole answer.
    dropFirstEnd(stack);
    const result = await streamCompletion(
      stack.gateUrl,
      {model: 'chat', prompt: 'e'.repeat(4000), max_tokens: 20},
      TEST_AUTH,
    );
    expect(result.done).toEqual(true);
    expect(result.text).toEqual(renderCompleteAnswer(20));
  });
});

describe('stream whose engine dies in a pool that is not resumable', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({
      engine: i => ({tokenLetter: TOKEN_LETTERS[i]}),
      resumable: false,
    });
  });
  after(async () => {
    await stack.close();
  });

  it('ends with outcome_unknown and contains no tokens of a second run', async () => {
    const {result, letter} = await streamAndKillEngine(stack);
    expect(result.done).toEqual(false);
    expect(result.error?.type).toEqual('outcome_unknown');
    expect(renderCompleteAnswer(80, letter).startsWith(result.text)).toEqual(
      true,
    );
  });
});

describe('agent that is frozen although its heartbeats arrive', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, routing: 'round-robin'});
  });
  after(async () => {
    await stack.close();
  });

  it('does not delay repeatable requests, which are sent to another agent', async () => {
    // Guards against waiting for a suspended host with recent heartbeats.
    const frozen = await startFrozenAgent();
    const version = publishChatTargets(stack, targets => [
      {id: 'frozen', agent: `127.0.0.1:${frozen.port}`, zone: 'az-1'},
      ...targets,
    ]);
    await waitForGate(stack.gate, version);
    const answers = await Promise.all(
      [1, 2, 3].map(() =>
        streamCompletion(
          stack.gateUrl,
          {...completionBody, max_tokens: 3},
          TEST_AUTH,
        ),
      ),
    );
    frozen.close();
    expect(answers.map(answer => answer.done)).toEqual([true, true, true]);
    expect(frozen.dispatches()).toBeGreaterThanOrEqual(1);
  });
});
