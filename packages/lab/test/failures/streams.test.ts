import { expect } from 'chai';
import { call } from '../../src/harness/caller.js';
import { smallSite } from '../../src/harness/small-site.js';
import { until } from '../../src/harness/until.js';
import { engineSum, useSite, verdict } from '../support/site.js';

describe('streams', () => {
  const site = useSite(() => smallSite('magyar-vizualis'));

  // A reviewer closes the page in mid stream. The entry cancels the attempt, the agent closes its
  // connection, and the engine stops generating tokens that nobody will read.
  it('a caller that has gone stops the generation in the engine', async () => {
    const gone = new AbortController();
    let seen = 0;
    const result = call({
      ...verdict(site().entry(0).url, 'a long page', 5_000),
      signal: gone.signal,
      onEvent: () => {
        seen += 1;
        if (seen === 3) gone.abort();
      },
    });
    await result;
    await until(
      'the engine has cancelled',
      async () => (await engineSum(site(), 'cancelled')) === 1,
    );
    expect(await engineSum(site(), 'running')).to.equal(0);
  });

  // Many streams at once through one entry and one agent: each reviewer gets its own text, whole,
  // whatever order the pieces arrive in. The engine's text follows from the prompt alone.
  it('crossed answers reach their own callers', async () => {
    const { url } = site().entry(0);
    const prompts = Array.from({ length: 24 }, (_, index) => `page ${index}`);
    const together = await Promise.all(prompts.map((prompt) => call(verdict(url, prompt, 20))));
    const engine = site().upstream('visual-reviewer-csepel-1').url;
    const direct = await Promise.all(prompts.map((prompt) => call(verdict(engine, prompt, 20))));
    expect(together.map((result) => result.events)).to.deep.equal(
      direct.map((result) => result.events),
    );
  });
});
