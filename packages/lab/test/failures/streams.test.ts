import { expect } from 'chai';
import { call } from '../../src/harness/caller.js';
import { smallSite } from '../../src/harness/small-site.js';
import { until } from '../../src/harness/until.js';
import { sumEngineCounts, useSite, verdictCall } from '../support/site.js';

describe('streams', () => {
  const site = useSite(() => smallSite('magyar-vizualis'));

  // A caller disconnects during a stream. The entry must cancel the attempt and the agent must close
  // its connection, or the engine goes on generating tokens that nobody reads.
  it('a caller that disconnects stops the generation in the engine', async () => {
    const caller = new AbortController();
    let eventCount = 0;
    const result = call({
      ...verdictCall(site().entry(0).url, 'a long page', 5_000),
      signal: caller.signal,
      onEvent: () => {
        eventCount += 1;
        if (eventCount === 3) caller.abort();
      },
    });
    await result;
    await until(
      'the engine has cancelled',
      async () => (await sumEngineCounts(site(), 'cancelled')) === 1,
    );
    expect(await sumEngineCounts(site(), 'running')).to.equal(0);
  });

  // Many streams run at once through one entry and one agent, and their chunks interleave. Each caller
  // must get the full text of its own prompt, which the engine derives from the prompt alone.
  it('interleaved answers reach their own callers', async () => {
    const { url } = site().entry(0);
    const prompts = Array.from({ length: 24 }, (_, index) => `page ${index}`);
    const together = await Promise.all(prompts.map((prompt) => call(verdictCall(url, prompt, 20))));
    const engine = site().upstream('visual-reviewer-csepel-1').url;
    const direct = await Promise.all(
      prompts.map((prompt) => call(verdictCall(engine, prompt, 20))),
    );
    expect(together.map((result) => result.events)).to.deep.equal(
      direct.map((result) => result.events),
    );
  });
});
