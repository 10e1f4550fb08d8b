import { createSeededRandom } from '@plantaindrum/common';
import { expect } from 'chai';
import { startLoad } from '../../src/harness/load.js';
import { smallSite } from '../../src/harness/small-site.js';
import { setFaults } from '../../src/harness/stand-ins.js';
import { releaseTraffic } from '../../src/harness/workloads.js';
import { countRuns, useSite } from '../support/site.js';

describe("the platform's log is down for the whole run", () => {
  const site = useSite(() => smallSite('magyar-vizualis', { entries: 2, engines: 2, replicas: 2 }));

  // The log is down from the first call to the last. Verdicts, summaries and pings need no claim and
  // must be served. The idempotency keys of approvals can't be claimed, so each approval must be
  // refused as "not run" with Retry-After, and the service must not have run it.
  it('serves what needs no claim and refuses the rest as not run', async () => {
    await setFaults(site().platform.ready.log, { outage: 'all' });
    const load = startLoad({
      kinds: releaseTraffic,
      urls: () => site().entries.map((entry) => entry.url),
      random: createSeededRandom(3),
      run: 'log-down',
      durationMs: 4_000,
    });
    const calls = await load.finished;

    const keyed = calls.filter((done) => done.spec.idempotencyKey !== undefined);
    const unkeyed = calls.filter((done) => done.spec.idempotencyKey === undefined);
    expect(new Set(unkeyed.map((done) => done.result.outcome))).to.deep.equal(
      new Set(['answered']),
    );
    expect(new Set(keyed.map((done) => done.result.outcome))).to.deep.equal(new Set(['not-run']));
    const runs = await Promise.all(keyed.map((done) => countRuns(site(), done.spec.path)));
    expect(Math.max(...runs)).to.equal(0);
    keyed.forEach((done) => expect(Number(done.result.headers['retry-after'])).to.be.at.least(1));
  });
});
