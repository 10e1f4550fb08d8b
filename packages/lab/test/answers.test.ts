import { completionBody, streamBody } from '@plantaindrum/stand-ins';
import { expect } from 'chai';
import { isOwnWholeAnswer } from '../src/cli/demo/answers.js';
import type { LoadCall } from '../src/harness/load.js';

const answered = (body: object, text: string): LoadCall =>
  ({
    spec: { path: '/v1/completions', body },
    result: { outcome: 'answered', status: 200, body: text },
  }) as unknown as LoadCall;

describe('judge of the demo', () => {
  const whole = { prompt: 'lot 7', max_tokens: 3, stream: false };
  const streamed = { ...whole, stream: true };

  it('takes only the whole answer to the call itself', () => {
    const stream = streamBody('lot-writer', 'lot 7', 3);
    const judged = {
      whole: isOwnWholeAnswer(answered(whole, completionBody('lot-writer', 'lot 7', 3))),
      streamed: isOwnWholeAnswer(answered(streamed, stream)),
      foreign: isOwnWholeAnswer(answered(whole, completionBody('lot-writer', 'lot 8', 3))),
      short: isOwnWholeAnswer(answered(streamed, stream.slice(0, -20))),
      emptyService: isOwnWholeAnswer(answered({ lot: 7 }, '')),
    };
    expect(judged).to.deep.equal({
      whole: true,
      streamed: true,
      foreign: false,
      short: false,
      emptyService: false,
    });
  });
});
