import { expect } from 'chai';
import { call } from '../../src/harness/caller.js';
import type { SiteSpec } from '../../src/harness/site-types.js';
import { smallSite } from '../../src/harness/small-site.js';
import { until } from '../../src/harness/until.js';
import { useSite, verdictCall } from '../support/site.js';

/** A small site with a second data centre that has its own engine and entry. */
const twoDataCentres = (): SiteSpec => {
  const spec = smallSite('magyar-vizualis');
  const secondDataCentre = { dataCentre: 'obuda' };
  return {
    ...spec,
    groups: spec.groups.flatMap((group) => [
      group,
      { ...group, ...secondDataCentre, name: 'visual-reviewer-obuda' },
    ]),
    entries: [...spec.entries, { name: 'obuda-entry-1', ...secondDataCentre }],
  };
};

describe('a data centre is stopped under streaming load', () => {
  const site = useSite(twoDataCentres);

  // An operator stops data centre Csepel while verdicts stream in both. Csepel's entry must fail
  // readiness, so that the platform's balancer sends it no new callers, and finish its streams.
  // Óbuda's entry must serve new calls with its own engine.
  it('cuts no stream and refuses no call', async () => {
    const [csepel, obuda] = [site().entry(0), site().entry(1)];
    const streams = Array.from({ length: 12 }, (_, n) =>
      call(verdictCall(n % 2 === 0 ? csepel.url : obuda.url, `page ${n}`, 200)),
    );
    const key = 'dataCentres/csepel';
    const base = (await obuda.operators.intent()).versions[key] ?? -1;
    const stopResult = await obuda.operators.change([{ key, base, value: { state: 'stopped' } }]);
    expect(stopResult.outcome).to.equal('accepted');
    await until(
      'the entry in Csepel fails readiness',
      async () => !(await csepel.operators.ready()),
    );
    expect(await obuda.operators.ready()).to.equal(true);

    const later = Array.from({ length: 6 }, (_, n) =>
      call(verdictCall(obuda.url, `later ${n}`, 20)),
    );
    const results = await Promise.all([...streams, ...later]);
    expect(results.map((result) => result.outcome)).to.deep.equal(Array(18).fill('answered'));
  });
});
