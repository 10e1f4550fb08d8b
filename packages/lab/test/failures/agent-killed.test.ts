import { expect } from 'chai';
import { call } from '../../src/harness/caller.js';
import { smallSite } from '../../src/harness/small-site.js';
import { setFaults } from '../../src/harness/stand-ins.js';
import { until } from '../../src/harness/until.js';
import {
  approvalCall,
  countRuns,
  waitForBusyUpstream,
  useSite,
  verdictCall,
} from '../support/site.js';

const MAX_OUTCOME_MS = 4_000;

describe('an agent is killed', () => {
  const site = useSite(() => ({
    ...smallSite('magyar-vizualis', { engines: 2 }),
    agentLimits: { concurrency: 1 },
  }));

  // The agent is killed while its service runs an approval and a second one waits in the agent's
  // queue. Nothing that is left can prove that either did not run, so both callers must get
  // "unknown" promptly. The service runs the first once, and the second never reaches it.
  it('calls that may have run end as unknown, and none runs twice', async () => {
    const { url } = site().entry(0);
    const { control } = site().upstream('pipeline-1');
    await setFaults(control, { hold: true });
    const running = call(approvalCall(url, 'inside'));
    const name = await waitForBusyUpstream(site());
    const queued = call(approvalCall(url, 'queued'));
    await until('the entry knows that the second call is queued', async () => {
      const { upstreams } = await site().entry(0).operators.status();
      return upstreams.some((line) => line.name === name && line.queued === 1);
    });

    const killedAt = performance.now();
    await site().upstream(name).agent.kill();
    const results = await Promise.all([running, queued]);

    expect(performance.now() - killedAt).to.be.below(MAX_OUTCOME_MS);
    expect(results.map((result) => result.outcome)).to.deep.equal(['unknown', 'unknown']);
    await setFaults(control, { hold: false });
    await until(
      'the first approval ran',
      async () => (await countRuns(site(), '/approvals/inside')) === 1,
    );
    expect(await countRuns(site(), '/approvals/queued')).to.equal(0);
  });

  // The service has no agent left, so the entry sends the call nowhere and must refuse it as "not
  // run" with Retry-After. Calls are served again once the agent is back on a new address.
  it('calls without an upstream are refused as not run until the agent is back', async () => {
    const { url } = site().entry(0);
    const refused = await call(approvalCall(url, 'nobody'));
    expect(refused.outcome).to.equal('not-run');
    expect(Number(refused.headers['retry-after'])).to.be.at.least(1);
    expect(await countRuns(site(), '/approvals/nobody')).to.equal(0);

    await site().restartAgent('pipeline-1');
    await site().publish();
    const served = await until('an approval is served again', async () => {
      const result = await call(approvalCall(url, `again-${performance.now()}`));
      return result.outcome === 'answered' && result;
    });
    expect(served.status).to.equal(200);
  });

  // A verdict may be repeated: when the agent that streams it is killed, the entry resumes the stream
  // on the other engine. The caller must get every token exactly once.
  it('a repeatable stream goes on at its next token on another upstream', async () => {
    const { url } = site().entry(0);
    const uninterrupted = await call(verdictCall(url, 'a page', 60));
    let eventCount = 0;
    let resolveStarted = (): void => {};
    const started = new Promise<void>((resolve) => {
      resolveStarted = resolve;
    });
    const stream = call({
      ...verdictCall(url, 'a page', 60),
      onEvent: () => {
        eventCount += 1;
        if (eventCount === 3) resolveStarted();
      },
    });
    await started;
    const streaming = await until('an agent streams', async () => {
      const { upstreams } = await site().entry(0).operators.status();
      const streamingUpstream = upstreams.find((line) => line.outstanding === 1);
      return streamingUpstream && site().upstream(streamingUpstream.name);
    });
    await streaming.agent.kill();

    const result = await stream;
    expect(result.outcome).to.equal('answered');
    expect(result.events).to.deep.equal(uninterrupted.events);
  });
});
