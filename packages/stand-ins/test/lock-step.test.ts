import { expect } from 'chai';
import type { EngineGroupStandIn, EngineGroupStandInOptions } from '../src/index.js';
import {
  createEngineGroupStandIn,
  createWeightStoreStandIn,
  createRoundRobinMap,
} from '../src/index.js';
import { call } from './http.js';

const MAP = { ...createRoundRobinMap(2, 2, 8, 2), version: 2 };
const DISTANT_STEP = 1e9;

describe('lock-step of an engine group', () => {
  let group: EngineGroupStandIn;

  afterEach(() => group.close());

  const start = async (options: EngineGroupStandInOptions = {}) => {
    group = await createEngineGroupStandIn({ engines: 2, experts: 8, stepMs: 1, ...options });
  };

  const order = (engine: number, name: string, body: object) =>
    call(`${group.engines[engine]}/orders/${name}`, { body: { fence: 5, version: 2, ...body } });
  const both = (name: string, body: object = {}) =>
    Promise.all([order(0, name, body), order(1, name, body)]);
  const ranks = async (engine: number) =>
    (await call(`${group.engines[engine]}/group`)).json.ranks[0];
  const steps = () => group.oracle().steps;
  const awaitSteps = (count: number) => {
    const target = steps() + count;
    return group.waitFor(() => steps() >= target);
  };
  const futureStep = async () => (await ranks(0)).step + 30;

  it('switches all ranks at the armed step', async () => {
    await start();
    await both('prepare_map', { map: MAP });
    const atStep = await futureStep();
    await both('arm_map', { at_step: atStep });
    await both('switch_map');
    await group.waitFor(() => group.oracle().stepsByVersion['2'] !== undefined);
    const { recent, mixedSteps } = group.oracle(100);
    const first = recent.find((step) => step.versions.includes(2));
    expect([first?.step, first?.versions, mixedSteps]).to.deep.equal([atStep, [2, 2], 0]);
  });

  it('holds the group until all ranks have received the decision', async () => {
    await start();
    await both('prepare_map', { map: MAP });
    await both('arm_map', { at_step: await futureStep() });
    await order(0, 'switch_map', {});
    while (!(await ranks(1)).holding);
    const heldSteps = steps();
    await order(1, 'abort_map', { version: 9 });
    expect(steps()).to.equal(heldSteps);
    await order(1, 'switch_map', {});
    await awaitSteps(3);
    expect(group.oracle().holdUs.count).to.equal(1);
  });

  it('counts a mixed step when decisions contradict each other', async () => {
    await start();
    await both('prepare_map', { map: MAP });
    await both('arm_map', { at_step: await futureStep() });
    await order(0, 'switch_map', {});
    await order(1, 'abort_map', {});
    await group.waitFor(() => group.oracle().mixedSteps > 0);
    expect(group.oracle().mixed[0]?.versions).to.deep.equal([2, 1]);
  });

  it('refuses each order that the table of docs/PLATFORM.md refuses, without effect', async () => {
    await start();
    const refusal = async (name: string, body: object) =>
      (await order(0, name, body)).json.refused as string;
    const refusals: Record<string, string> = {};
    refusals.unprepared = await refusal('arm_map', { at_step: DISTANT_STEP });
    await both('prepare_map', { map: MAP });
    refusals.begun = await refusal('arm_map', { at_step: 1 });
    await order(0, 'arm_map', { at_step: DISTANT_STEP });
    refusals.otherwise = await refusal('arm_map', { at_step: DISTANT_STEP + 1 });
    refusals.armed = await refusal('refuse_map', {});
    await order(0, 'switch_map', {});
    refusals.decided = await refusal('abort_map', {});
    await order(1, 'refuse_map', {});
    refusals.refused = await refusal('prepare_map', { map: MAP, version: 1 });
    const other = await order(1, 'prepare_map', { map: MAP });
    refusals.refusedHere = other.json.refused;
    refusals.older = await refusal('form_group', { map: MAP, version: 1, rank_count: 2 });
    expect({ refusals, armed: (await ranks(0)).armed }).toMatchSnapshot();
  });

  it('ignores a decision for a version that is not armed', async () => {
    await start();
    await both('prepare_map', { map: MAP });
    await both('switch_map');
    const atStep = await futureStep();
    await both('arm_map', { at_step: atStep });
    while (!(await ranks(0)).holding);
    expect((await ranks(0)).version).to.equal(1);
  });

  for (const checksFence of [true, false]) {
    it(`${checksFence ? 'refuses' : 'obeys'} an order with a stale fence`, async () => {
      await start({ checksFence });
      await order(0, 'prepare_map', { map: MAP, fence: 7 });
      const stale = await order(0, 'prepare_map', { map: { ...MAP, version: 3 }, version: 3 });
      expect([stale.status, stale.json.refused]).to.deep.equal(
        checksFence ? [409, 'old-fence'] : [200, undefined],
      );
      expect((await ranks(0)).prepared).to.deep.equal(checksFence ? [2] : [2, 3]);
    });
  }

  it('stops stepping when a rank is lost until the others form a new group', async () => {
    await start();
    await awaitSteps(3);
    await group.kill(1);
    const map = createRoundRobinMap(2, 2, 8, 1);
    await order(0, 'form_group', { group: 'group-1', rank_count: 1, map });
    await awaitSteps(3);
    expect(group.oracle(1).recent[0]?.versions).to.deep.equal([2]);
    await group.restart(1);
    await both('form_group', { group: 'group-1', rank_count: 2, map: MAP, fence: 6, version: 3 });
    await group.waitFor(() => group.oracle(1).recent[0]?.versions.length === 2);
    expect([group.oracle().mixedSteps, group.oracle().splitSteps]).to.deep.equal([0, 0]);
  });

  // A rank freezes while the other rank forms a new group without it. After it resumes, it still
  // belongs to the old group, which is incomplete: a step there would split the group.
  it('runs no step on a rank that was frozen while the others formed a new group', async () => {
    await start();
    await awaitSteps(3);
    group.setFaults(1, { frozen: true });
    const map = createRoundRobinMap(2, 2, 8, 1);
    await order(0, 'form_group', { group: 'group-1', rank_count: 1, map });
    await awaitSteps(3);
    group.setFaults(1, { frozen: false });
    const frozenAtStep = (await ranks(1)).step;
    await awaitSteps(5);
    expect((await ranks(1)).step).to.equal(frozenAtStep);
    expect([group.oracle().mixedSteps, group.oracle().splitSteps]).to.deep.equal([0, 0]);
  });

  // Two coordinators each form a group of one rank under the same name, on engines that ignore the
  // fence. Both halves can step, which the oracle must report.
  it('counts the steps of a group that was split in two', async () => {
    await start({ checksFence: false });
    const map = createRoundRobinMap(2, 2, 8, 1);
    await order(0, 'form_group', { group: 'group-1', rank_count: 1, map, fence: 6 });
    await order(1, 'form_group', { group: 'group-1', rank_count: 1, map, fence: 5 });
    await group.waitFor(() => group.oracle().splitSteps > 0);
  });

  it('runs as fast as its slowest rank and reports the skew', async () => {
    await start();
    await awaitSteps(2);
    const before = group.oracle(1).recent[0];
    group.setFaults(1, { speeds: [0.25] });
    await awaitSteps(2);
    const after = group.oracle(1).recent[0];
    expect(after?.rankUs[1]).to.be.closeTo(4 * (before?.rankUs[1] ?? 0), 1);
    expect(after?.skewUs).to.be.greaterThan(before?.skewUs ?? 0);
  });

  it('redistributes load among the ranks when popularity shifts', async () => {
    await start();
    await awaitSteps(1);
    const before = group.oracle(1).recent[0]?.rankUs;
    group.movePopularity('shift', 99);
    await awaitSteps(2);
    expect(group.oracle(1).recent[0]?.rankUs).to.not.deep.equal(before);
  });

  it('serves a stale report or none while steps continue, and adds noise to step times', async () => {
    await start();
    const step = async () => (await ranks(0)).step as number;
    await step();
    await call(`${group.control}/faults`, { body: { engine: 0, groupReport: 'stale' } });
    const stale = await step();
    await awaitSteps(2);
    expect(await step()).to.equal(stale);
    group.setFaults(0, { groupReport: 'missing' });
    expect((await call(`${group.engines[0]}/group`)).status).to.equal(503);
    group.setFaults(0, { groupReport: 'live', timeNoise: 0.2 });
    await awaitSteps(4);
    expect(await step()).to.be.greaterThan(stale);
    const times = group.oracle(2).recent.map(({ rankUs }) => rankUs);
    expect(times[0]?.[0]).to.not.equal(times[1]?.[0]);
    expect(times[0]?.[1]).to.equal(times[1]?.[1]);
  });

  it('loads weights despite the rate limit and truncated responses', async () => {
    const store = await createWeightStoreStandIn({ expertBytes: 100 });
    store.breakOff(2);
    await start({ weightsUrl: store.url });
    expect((await order(0, 'prepare_map', { map: MAP })).status).to.equal(200);
    expect(group.views()[0]?.weights).to.deep.equal({ experts: 8, bytes: 800, retries: 2 });
    await store.close();
  });

  it('drops, repeats and delays orders, and loses their responses', async () => {
    await start();
    const prepare = () => order(0, 'prepare_map', { map: MAP });
    const preparedAfter = async (fault: 'drop' | 'lose-answer' | 'twice') => {
      group.setFaults(0, { orders: [{ fault, name: 'prepare_map', count: 1 }] });
      const { status } = await prepare();
      return [status, (await ranks(0)).prepared.length];
    };
    expect(await preparedAfter('drop')).to.deep.equal([0, 0]);
    expect(await preparedAfter('lose-answer')).to.deep.equal([0, 1]);
    expect(await preparedAfter('twice')).to.deep.equal([200, 1]);
    group.setFaults(0, { orders: [{ fault: 'hold', name: 'arm_map', count: 1 }] });
    const held = order(0, 'arm_map', { at_step: DISTANT_STEP });
    await group.waitFor(() => group.views()[0]?.heldOrders === 1);
    expect((await ranks(0)).armed).to.equal(null);
    group.releaseOrders(0);
    expect((await held).json.ranks[0].armed).to.deep.equal({
      version: 2,
      at_step: DISTANT_STEP,
      decided: false,
    });
  });
});
