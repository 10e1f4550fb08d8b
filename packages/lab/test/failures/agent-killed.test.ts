import { expect } from 'chai';
import { call } from '../../src/harness/caller.js';
import { smallSite } from '../../src/harness/small-site.js';
import { setFaults } from '../../src/harness/stand-ins.js';
import { until } from '../../src/harness/until.js';
import { approval, runsOf, upstreamInside, useSite, verdict } from '../support/site.js';

const PROMPT_MS = 4_000;

describe('an agent is killed', () => {
  const site = useSite(() => ({
    ...smallSite('magyar-vizualis', { engines: 2 }),
    agentLimits: { concurrency: 1 },
  }));

  // The approval is inside the service when the agent beside it dies. The entry loses the link,
  // and the agent's next process knows nothing of the call: nobody can say that it did not run.
  // The caller hears "unknown" at once, and the service, which runs the call after all, ran it once.
  // A second approval waits in the agent's queue: it is lost with the agent, also "unknown".
  it('calls that may have run end as unknown, and none runs twice', async () => {
    const { url } = site().entry(0);
    const { control } = site().upstream('pipeline-1');
    await setFaults(control, { hold: true });
    const inside = call(approval(url, 'inside'));
    const name = await upstreamInside(site());
    const queued = call(approval(url, 'queued'));
    await until('the entry knows that the second call is queued', async () => {
      const { upstreams } = await site().entry(0).operators.status();
      return upstreams.some((line) => line.name === name && line.queued === 1);
    });

    const killed = performance.now();
    await site().upstream(name).agent.kill();
    const results = await Promise.all([inside, queued]);

    expect(performance.now() - killed).to.be.below(PROMPT_MS);
    expect(results.map((result) => result.outcome)).to.deep.equal(['unknown', 'unknown']);
    await setFaults(control, { hold: false });
    await until(
      'the first approval ran',
      async () => (await runsOf(site(), '/approvals/inside')) === 1,
    );
    expect(await runsOf(site(), '/approvals/queued')).to.equal(0);
  });

  // No agent of the service is left, so nothing was sent anywhere: "not run", with Retry-After,
  // and the service agrees. Once the agent is back under a new address, calls are served again.
  it('calls without an upstream are refused as not run until the agent is back', async () => {
    const { url } = site().entry(0);
    const refused = await call(approval(url, 'nobody'));
    expect(refused.outcome).to.equal('not-run');
    expect(Number(refused.headers['retry-after'])).to.be.at.least(1);
    expect(await runsOf(site(), '/approvals/nobody')).to.equal(0);

    await site().restartAgent('pipeline-1');
    await site().publish();
    const served = await until('an approval is served again', async () => {
      const result = await call(approval(url, `again-${performance.now()}`));
      return result.outcome === 'answered' && result;
    });
    expect(served.status).to.equal(200);
  });

  // A verdict may be repeated: when the agent that streams it dies, the entry resumes the stream
  // at the next token on the other engine, and the reviewer reads one whole text without a seam.
  it('a repeatable stream goes on at its next token on another upstream', async () => {
    const { url } = site().entry(0);
    const whole = await call(verdict(url, 'a page', 60));
    let seen = 0;
    let resolveStarted = (): void => {};
    const started = new Promise<void>((resolve) => {
      resolveStarted = resolve;
    });
    const stream = call({
      ...verdict(url, 'a page', 60),
      onEvent: () => {
        seen += 1;
        if (seen === 3) resolveStarted();
      },
    });
    await started;
    const streaming = await until('an agent streams', async () => {
      const { upstreams } = await site().entry(0).operators.status();
      const busy = upstreams.find((line) => line.outstanding === 1);
      return busy && site().upstream(busy.name);
    });
    await streaming.agent.kill();

    const result = await stream;
    expect(result.outcome).to.equal('answered');
    expect(result.events).to.deep.equal(whole.events);
  });
});
