import { expect } from 'chai';
import { afterEach } from 'mocha';
import { call } from '../../src/harness/caller.js';
import { smallSite } from '../../src/harness/small-site.js';
import { serviceCounts, setFaults } from '../../src/harness/stand-ins.js';
import { until } from '../../src/harness/until.js';
import { approval, runsOf, upstreamInside, useSite } from '../support/site.js';

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

  // A pipeline sends the same approval through both entries at once. Both agents claim the key in
  // the log; the log's order decides which claim was first, and only that agent runs the call.
  it('the same key through two entries at once runs once', async () => {
    const urls = site().entries.map((entry) => entry.url);
    const results = await Promise.all(urls.map((url) => call(approval(url, 'both', 'key-both'))));
    expect(await runsOf(site(), '/approvals/both')).to.equal(1);
    const outcomes = results.map((result) => result.outcome);
    expect(outcomes).to.include('answered');
    expect(outcomes).not.to.include('broken');
    results
      .filter((result) => result.outcome !== 'answered')
      .forEach((result) => expect(result.status).to.equal(409));
  });

  it('the same key with another body is refused and does not run', async () => {
    const { url } = site().entry(0);
    await call(approval(url, 'one-body', 'key-body'));
    const other = await call({ ...approval(url, 'one-body', 'key-body'), body: { other: true } });
    expect(other.status).to.equal(422);
    expect(await runsOf(site(), '/approvals/one-body')).to.equal(1);
  });

  // The claim reaches the log but the log's answer is lost, so the agent can't tell whether it
  // stands. It reads the log until it sees its own record, and only then runs the call, once.
  it('a claim whose answer was lost is found by reading, and the call runs once', async () => {
    await setLog({ loseAnswers: 1 });
    const result = await call(approval(site().entry(0).url, 'lost', 'key-lost'));
    expect(result.outcome).to.equal('answered');
    expect(await runsOf(site(), '/approvals/lost')).to.equal(1);
  });

  // An agent is frozen while its claimed call is inside the service. The entry hears no heartbeat
  // and tells the caller "unknown" instead of waiting. The pipeline asks again through the other
  // entry and another agent, whose claim comes second in the log: refused. The agent wakes: still
  // one run.
  it('an agent frozen with a claimed call and woken: asked again, the call still runs once', async () => {
    await hold(true);
    const first = call(approval(site().entry(0).url, 'frozen', 'key-frozen'));
    const name = await upstreamInside(site());
    site().upstream(name).agent.signal('SIGSTOP');
    const lost = await first;
    expect(lost.outcome).to.equal('unknown');
    await hold(false);
    const again = await call(approval(site().entry(1).url, 'frozen', 'key-frozen'));
    expect(again.outcome).not.to.equal('broken');
    site().upstream(name).agent.signal('SIGCONT');
    await until('the first run ended', async () => {
      const counts = await serviceCounts(site().upstream(name).control);
      return counts.inFlight === 0;
    });
    expect(again.outcome).not.to.equal('not-run');
    expect(await runsOf(site(), '/approvals/frozen')).to.equal(1);
  });

  // The log is down: an unkeyed call needs no claim and is served; a keyed one can't be claimed,
  // so it is refused at once as "not run" with a time to come back, and the service agrees.
  it('with the log down calls without a key are served, keyed ones are refused as not run', async () => {
    await setLog({ outage: 'all' });
    const { url } = site().entry(0);
    const unkeyed = await call(approval(url, 'unkeyed'));
    expect(unkeyed.outcome).to.equal('answered');
    const keyed = await call(approval(url, 'keyed', 'key-down'));
    expect(keyed.outcome).to.equal('not-run');
    expect(Number(keyed.headers['retry-after'])).to.be.at.least(1);
    await setLog({ outage: 'none' });
    expect(await runsOf(site(), '/approvals/keyed')).to.equal(0);
  });
});
