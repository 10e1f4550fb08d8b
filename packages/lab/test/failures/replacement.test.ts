import { createSeededRandom } from '@plantaindrum/common';
import { expect } from 'chai';
import type { CallResult } from '../../src/harness/caller.js';
import { startLoad } from '../../src/harness/load.js';
import { isEntryServing } from '../../src/harness/site.js';
import { smallSite } from '../../src/harness/small-site.js';
import { until } from '../../src/harness/until.js';
import { releaseTraffic } from '../../src/harness/workloads.js';
import { countRuns, useSite } from '../support/site.js';

describe('every VM is replaced, one after the other', () => {
  const site = useSite(() => smallSite('magyar-vizualis', { entries: 2, engines: 2, replicas: 2 }));

  // Each VM is stopped and replaced, first the agents, then the entries, while operators change a
  // class and callers make calls. No answer may be cut, and no approval may run twice or after "not
  // run". The new entries must know every accepted change, though no process that accepted one is left.
  it('loses no accepted change, cuts no answer, repeats no approval', async () => {
    const stopped: string[] = [];
    const running = () => site().entries.filter((entry) => !stopped.includes(entry.name));
    const load = startLoad({
      kinds: releaseTraffic.filter((kind) => kind.class !== 'baseline-note'),
      urls: () => running().map((entry) => entry.url),
      random: createSeededRandom(7),
      run: 'replaced',
      durationMs: 60_000,
    });
    const key = 'classes/status-ping';
    let base = (await site().entry(0).operators.intent()).versions[key] ?? -1;
    const change = async (latestAnswerMs: number): Promise<void> => {
      const value = { latestAnswerMs, share: 0.9, priority: 'live', mayNotRepeat: false };
      const [entry] = running().slice(-1);
      const submitted = await entry?.operators.change([{ key, base, value }]);
      expect(submitted?.outcome).to.equal('accepted');
      base = submitted?.outcome === 'accepted' ? submitted.version : -1;
    };

    for (const [index, { name }] of site().upstreams.entries()) {
      await change(1_000 + index);
      await site().upstream(name).agent.stop(15_000);
      await site().restartAgent(name);
      await site().publish();
      await until(`${name} is back`, async () => {
        const serving = await Promise.all(running().map((entry) => isEntryServing(site(), entry)));
        return serving.every(Boolean);
      });
    }
    for (const [index, old] of site().entries.slice(0, 2).entries()) {
      await change(2_000 + index);
      const replacement = await site().startEntry({ ...old, name: `${old.name}-new` });
      await until('the new entry serves', () => isEntryServing(site(), replacement), 20_000);
      stopped.push(old.name);
      await old.process.stop(15_000);
    }
    load.stop();
    const calls = await load.finished;

    const outcomes = new Set(calls.map(({ result }: { result: CallResult }) => result.outcome));
    expect([...outcomes]).not.to.include('broken');
    const approvals = calls.filter((done) => done.class === 'approval-hook');
    for (const done of approvals) {
      const runs = await countRuns(site(), done.spec.path);
      expect(runs).to.be.at.most(done.result.outcome === 'not-run' ? 0 : 1);
    }
    const documents = await Promise.all(running().map((entry) => entry.operators.intent()));
    documents.forEach(({ document }) =>
      expect(document.classes['status-ping']?.latestAnswerMs).to.equal(2_001),
    );
  }).timeout(120_000);
});
