import { expect } from 'chai';
import { call } from '../../src/harness/caller.js';
import type { SiteSpec } from '../../src/harness/site-types.js';
import { smallSite } from '../../src/harness/small-site.js';
import { until } from '../../src/harness/until.js';
import { useSite, verdict } from '../support/site.js';

/** The association's site with the same parts in a second data centre. */
const twoDataCentres = (): SiteSpec => {
  const spec = smallSite('magyar-vizualis');
  const elsewhere = { dataCentre: 'obuda' };
  return {
    ...spec,
    groups: spec.groups.flatMap((group) => [
      group,
      { ...group, ...elsewhere, name: 'visual-reviewer-obuda' },
    ]),
    entries: [...spec.entries, { name: 'obuda-entry-1', ...elsewhere }],
  };
};

describe('a data centre is stopped under streaming load', () => {
  const site = useSite(twoDataCentres);

  // An operator stops Csepel while verdicts stream in both data centres. Its entry fails
  // readiness, so that the platform's balancer moves on, and finishes its streams; Óbuda's entry
  // sends its new calls to its own engine. No stream is cut and no call refused.
  it('cuts no stream and refuses no call', async () => {
    const [csepel, obuda] = [site().entry(0), site().entry(1)];
    const streams = Array.from({ length: 12 }, (_, n) =>
      call(verdict(n % 2 === 0 ? csepel.url : obuda.url, `page ${n}`, 200)),
    );
    const key = 'dataCentres/csepel';
    const base = (await obuda.operators.intent()).versions[key] ?? -1;
    const answer = await obuda.operators.change([{ key, base, value: { state: 'stopped' } }]);
    expect(answer.outcome).to.equal('accepted');
    await until(
      'the entry in Csepel fails readiness',
      async () => !(await csepel.operators.ready()),
    );
    expect(await obuda.operators.ready()).to.equal(true);

    const later = Array.from({ length: 6 }, (_, n) => call(verdict(obuda.url, `later ${n}`, 20)));
    const results = await Promise.all([...streams, ...later]);
    expect(results.map((result) => result.outcome)).to.deep.equal(Array(18).fill('answered'));
  });
});
