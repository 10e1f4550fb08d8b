import { expect } from 'chai';
import { afterEach } from 'mocha';
import { call } from '../../src/harness/caller.js';
import { smallSite } from '../../src/harness/small-site.js';
import { serviceCounts, setFaults } from '../../src/harness/stand-ins.js';
import { until } from '../../src/harness/until.js';
import { approvalCall, countRuns, waitForBusyUpstream, useSite } from '../support/site.js';

describe('calls with an idempotency key', () => {
  const site = useSite(() => smallSite('magyar-vizualis', { entries: 2, replicas: 2 }));
  const controls = () => ['pipeline-1', 'pipeline-2'].map((name) => site().upstream(name).control);
  const hold = (held: boolean) =>
    Promise.all(controls().map((control) => setFaults(control, { hold: held })));
  const setLog = (faults: Record<string, unknown>) => setFaults(site().platform.ready.log, faults);
  afterEach(async () => {
    await hold(false);
    await setLog({ outage: 'none', loseAnswers: 0, silentClients: [] });
  });

  // The same approval is sent through both entries at once. Both agents claim the key in the log;
  // the log's order decides which claim is first, and only that agent may run the call.
  it('the same key through two entries at once runs once', async () => {
    const urls = site().entries.map((entry) => entry.url);
    const results = await Promise.all(
      urls.map((url) => call(approvalCall(url, 'both', 'key-both'))),
    );
    expect(await countRuns(site(), '/approvals/both')).to.equal(1);
    const outcomes = results.map((result) => result.outcome);
    expect(outcomes).to.include('answered');
    expect(outcomes).not.to.include('broken');
    results
      .filter((result) => result.outcome !== 'answered')
      .forEach((result) => expect(result.status).to.equal(409));
  });

  it('the same key with another body is refused and does not run', async () => {
    const { url } = site().entry(0);
    await call(approvalCall(url, 'one-body', 'key-body'));
    const other = await call({
      ...approvalCall(url, 'one-body', 'key-body'),
      body: { other: true },
    });
    expect(other.status).to.equal(422);
    expect(await countRuns(site(), '/approvals/one-body')).to.equal(1);
  });

  // The claim reaches the log but the log's response is lost, so the agent doesn't know whether it was
  // stored. It must read the log until it finds its own record before it runs the call.
  it('a claim whose answer was lost is found by reading, and the call runs once', async () => {
    await setLog({ loseAnswers: 1 });
    const result = await call(approvalCall(site().entry(0).url, 'lost', 'key-lost'));
    expect(result.outcome).to.equal('answered');
    expect(await countRuns(site(), '/approvals/lost')).to.equal(1);
  });

  // An agent is suspended while its service runs a claimed call. The entry misses its heartbeats and
  // answers "unknown". The caller retries through the other entry, and the claim of the other agent
  // comes second in the log, so the retry is refused. After the agent is resumed, the call must still
  // have run only once.
  it('a call whose agent is suspended and resumed runs once, though the caller retries', async () => {
    await hold(true);
    const first = call(approvalCall(site().entry(0).url, 'frozen', 'key-frozen'));
    const name = await waitForBusyUpstream(site());
    site().upstream(name).agent.signal('SIGSTOP');
    const firstResult = await first;
    expect(firstResult.outcome).to.equal('unknown');
    await hold(false);
    const retried = await call(approvalCall(site().entry(1).url, 'frozen', 'key-frozen'));
    expect(retried.outcome).not.to.equal('broken');
    site().upstream(name).agent.signal('SIGCONT');
    await until('the first run ended', async () => {
      const counts = await serviceCounts(site().upstream(name).control);
      return counts.inFlight === 0;
    });
    expect(retried.outcome).not.to.equal('not-run');
    expect(await countRuns(site(), '/approvals/frozen')).to.equal(1);
  });

  // While the log is down, a call without a key needs no claim and is served. The key of a keyed call
  // can't be claimed, so the call must be refused as "not run" with Retry-After.
  it('with the log down calls without a key are served, keyed ones are refused as not run', async () => {
    await setLog({ outage: 'all' });
    const { url } = site().entry(0);
    const unkeyed = await call(approvalCall(url, 'unkeyed'));
    expect(unkeyed.outcome).to.equal('answered');
    const keyed = await call(approvalCall(url, 'keyed', 'key-down'));
    expect(keyed.outcome).to.equal('not-run');
    expect(Number(keyed.headers['retry-after'])).to.be.at.least(1);
    await setLog({ outage: 'none' });
    expect(await countRuns(site(), '/approvals/keyed')).to.equal(0);
  });
});
