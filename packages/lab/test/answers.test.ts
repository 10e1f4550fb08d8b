import { completionBody, streamBody } from '@plantaindrum/stand-ins';
import { expect } from 'chai';
import { isCorrectAnswer } from '../src/cli/demo/answers.js';
import type { LoadCall } from '../src/harness/load.js';

const createAnsweredCall = (body: object, text: string): LoadCall =>
  ({
    spec: { path: '/v1/completions', body },
    result: { outcome: 'answered', status: 200, body: text },
  }) as unknown as LoadCall;

describe('the answer check of the demo', () => {
  const body = { prompt: 'lot 7', max_tokens: 3, stream: false };
  const streamedBody = { ...body, stream: true };

  it('accepts only the complete answer to the call itself', () => {
    const stream = streamBody('lot-writer', 'lot 7', 3);
    const isCorrect = {
      whole: isCorrectAnswer(createAnsweredCall(body, completionBody('lot-writer', 'lot 7', 3))),
      streamed: isCorrectAnswer(createAnsweredCall(streamedBody, stream)),
      foreign: isCorrectAnswer(createAnsweredCall(body, completionBody('lot-writer', 'lot 8', 3))),
      short: isCorrectAnswer(createAnsweredCall(streamedBody, stream.slice(0, -20))),
      emptyService: isCorrectAnswer(createAnsweredCall({ lot: 7 }, '')),
    };
    expect(isCorrect).to.deep.equal({
      whole: true,
      streamed: true,
      foreign: false,
      short: false,
      emptyService: false,
    });
  });
});
