import { expect } from 'chai';
import { request } from 'undici';
import { call } from '../../src/harness/caller.js';
import { smallSite } from '../../src/harness/small-site.js';
import { serviceCounts, setFaults } from '../../src/harness/stand-ins.js';
import { until } from '../../src/harness/until.js';
import { approvalCall, countRuns, waitForBusyUpstream, useSite } from '../support/site.js';

const LIST_LAG_MS = 60_000;

describe('an upstream leaves while the list lags', () => {
  const site = useSite(() => smallSite('magyar-vizualis', { replicas: 2 }));
  const controls = () => ['pipeline-1', 'pipeline-2'].map((name) => site().upstream(name).control);

  // The agent of one replica gets SIGTERM while the VM list shows it as live for another minute. It
  // announces on its links that it is leaving, finishes the running approval and exits. Approvals
  // sent meanwhile must all be answered by the other replica.
  it('finishes its running calls, receives no new ones, and no call is cut', async () => {
    const { url } = site().entry(0);
    await request(`${site().platform.ready.vms}/lag`, {
      method: 'POST',
      body: JSON.stringify({ lagMs: LIST_LAG_MS }),
    });
    await Promise.all(controls().map((control) => setFaults(control, { hold: true })));
    const held = call(approvalCall(url, 'held'));
    const name = await waitForBusyUpstream(site());
    const leaving = site().upstream(name);
    leaving.agent.signal('SIGTERM');
    await until('the entry knows that the upstream leaves', async () => {
      const { upstreams } = await site().entry(0).operators.status();
      return upstreams.some((line) => line.name === name && line.leaving);
    });
    await Promise.all(controls().map((control) => setFaults(control, { hold: false })));

    const before = (await serviceCounts(leaving.control)).total;
    const later = await Promise.all(
      Array.from({ length: 20 }, (_, index) => call(approvalCall(url, `later-${index}`))),
    );
    expect(later.map((result) => result.outcome)).to.deep.equal(Array(20).fill('answered'));
    expect((await held).outcome).to.equal('answered');
    expect(await countRuns(site(), '/approvals/held')).to.equal(1);
    const exit = await leaving.agent.exited;
    expect(exit).to.deep.equal({ code: 0, signal: null });
    expect((await serviceCounts(leaving.control)).total - before).to.be.at.most(1);
  });
});

describe('a slow upstream that still answers heartbeats', () => {
  const site = useSite(() => smallSite('magyar-vizualis', { replicas: 2 }));

  // One replica takes 1.5 seconds for each call, while its agent's heartbeats arrive on time. The
  // entry must recognise it by its late responses and long queue and prefer the other replica.
  it('gets little of the work', async () => {
    const { url } = site().entry(0);
    const slow = site().upstream('pipeline-1');
    await request(`${slow.control}/time`, {
      method: 'POST',
      body: JSON.stringify({ serviceTimeMs: 1_500 }),
    });
    const results = [];
    for (let round = 0; round < 12; round += 1) {
      const four = [0, 1, 2, 3].map((n) => call(approvalCall(url, `slow-${round}-${n}`)));
      results.push(...(await Promise.all(four)));
    }
    const { total } = await serviceCounts(slow.control);
    expect(results.map((result) => result.outcome)).not.to.include('broken');
    expect(total).to.be.below(results.length / 4);
  });
});
