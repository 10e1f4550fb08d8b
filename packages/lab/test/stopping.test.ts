import { expect } from 'chai';
import { summarize } from '../src/cli/demo/summary.js';
import { readOracle } from '../src/cli/demo/oracle.js';
import type { Load, LoadCall } from '../src/harness/load.js';
import type { Site } from '../src/harness/site-types.js';
import { until } from '../src/harness/until.js';
import type { ProbedEntries } from '../src/experiments/drain-site.js';
import {
  dispatchedTo,
  probeEntries,
  setDataCentre,
  startMixedLoad,
  startTwoDataCentres,
  STOPPED,
  untilQuiet,
} from '../src/experiments/drain-site.js';

const TIMEOUT_MS = 20_000;

describe('stopped and suspended processes under load', () => {
  let site: Site;
  let probed: ProbedEntries;
  let load: Load;
  const model = `lot-writer-${STOPPED}-1`;

  beforeEach(async () => {
    site = await startTwoDataCentres();
    probed = probeEntries(site.entries);
    const durationMs = 3 * TIMEOUT_MS;
    load = startMixedLoad(probed.urls, { seed: 1, durationMs, run: 'test', scale: 1 });
    await until('the upstream has work', async () => (await dispatchedTo(site, model)) >= 5);
  });

  afterEach(async () => {
    load.stop();
    probed.stop();
    await site.close();
  });

  const endLoad = (): Promise<LoadCall[]> => {
    load.stop();
    return load.finished;
  };

  const describeUnanswered = (calls: LoadCall[]): unknown[] =>
    calls
      .filter(({ result }) => result.outcome !== 'answered')
      .map(({ class: name, result }) => [name, result.outcome, result.reason]);

  /** Expects no broken or wrong answer, and no call run twice that may not be repeated. */
  const expectTrueOutcomes = async (calls: LoadCall[]): Promise<void> => {
    const mayNotRepeat = (name: string) => name === 'bid-sheet-export' || name === 'title-check';
    const summary = summarize(calls, await readOracle(site), mayNotRepeat);
    expect(summary.sent).to.equal(calls.length);
    expect(summary).to.include({ broken: 0, wrongAnswers: 0, mixedSteps: 0 });
    expect(summary.mayNotRepeat.most).to.be.at.most(1);
    expect(summary.mayNotRepeat.ranThoughNotRun).to.equal(0);
  };

  // Operators stop a data centre while streams of some seconds are open there. Its entry fails
  // readiness, the balancer sends callers to the other data centre, and agents finish their running
  // calls. Every caller must get a complete answer before the stop ends.
  it('cuts nothing when a data centre is stopped', async () => {
    await setDataCentre(site, STOPPED, 'stopped');
    expect(await untilQuiet(site)).to.be.lessThan(TIMEOUT_MS);
    const calls = await endLoad();
    expect(describeUnanswered(calls)).to.deep.equal([]);
    await expectTrueOutcomes(calls);
  });

  // An agent gets SIGTERM and announces on its links that it is leaving, while the VM list still shows
  // it as live. Entries must send it no new calls, send calls that had not started to another upstream
  // and get the answers of the rest.
  it('sends nothing new to a leaving upstream that the list still shows', async () => {
    const leaving = site.upstream(model).agent;
    const exit = await leaving.stop(TIMEOUT_MS);
    const atExit = await dispatchedTo(site, model);
    const sentBefore = load.inFlight();
    await until('later calls have ended', () => load.inFlight() !== sentBefore);
    const calls = await endLoad();
    expect(exit).to.deep.equal({ code: 0, signal: null });
    expect(await dispatchedTo(site, model)).to.equal(atExit);
    expect(describeUnanswered(calls)).to.deep.equal([]);
    await expectTrueOutcomes(calls);
  });

  // An agent is suspended while it holds requests. Its links stay open until heartbeats are missed;
  // then its callers must get an answer from another upstream or "unknown". The agent is resumed with
  // calls that nobody waits for any more; none of them may run a second time.
  it('gives true outcomes when an agent is suspended, and after it is resumed', async () => {
    const { agent } = site.upstream(model);
    const isLinked = async (): Promise<boolean> => {
      const statuses = await Promise.all(site.entries.map(({ operators }) => operators.status()));
      return statuses.every((status) =>
        (status.upstreams as { name: string; linked: boolean }[]).some(
          ({ name, linked }) => name === model && linked,
        ),
      );
    };
    agent.signal('SIGSTOP');
    await until('its links are closed', async () => !(await isLinked()), TIMEOUT_MS);
    agent.signal('SIGCONT');
    await until('its links are back', isLinked, TIMEOUT_MS);
    const calls = await endLoad();
    const others = calls.filter(({ result }) => !['answered', 'unknown'].includes(result.outcome));
    expect(describeUnanswered(others)).to.deep.equal([]);
    await expectTrueOutcomes(calls);
  });
});
