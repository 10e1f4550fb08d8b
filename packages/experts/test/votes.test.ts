import { expect } from 'chai';
import { decisionOf } from '../src/decision.js';
import { registerFence } from '../src/coordinator/registration.js';
import { createGroupCalls } from '../src/coordinator/group-calls.js';
import type { CoordinatorOptions, ExpertMethod } from '../src/index.js';
import { createFakeGroup } from './fakes/fake-group.js';

const VERSION = 90_000_001;
const ARM = { fence: 0, version: VERSION, atStep: 1_000_000 };

const preparedGroup = async () => {
  const group = createFakeGroup();
  await group.until(() => group.oracle.steps > 20);
  const serve = (rank: number, method: 'prepare' | 'arm' | 'outcome', args: unknown) =>
    group.agent(rank).member.serve(`experts.${method}`, args);
  const map = { version: VERSION, layers: [[], []] };
  await serve(0, 'prepare', { fence: 0, version: VERSION, map });
  return { group, serve };
};

// A rank voted `refused`, so the others aborted; then its agent restarts. If a duplicate of the arm
// order could still arm it, another armed rank that queries now would get `armed` from all and
// switch alone, which mixes maps. The engine must keep the refusal.
describe('votes', () => {
  it('stay refused when the agent restarts', async () => {
    const { group, serve } = await preparedGroup();
    expect(await serve(0, 'outcome', { version: VERSION })).to.include({ vote: 'refused' });
    group.agent(0).process.kill();
    group.startAgent(0);
    await group.clock.advance(20);
    expect(await serve(0, 'arm', ARM)).to.include({ vote: 'refused' });
  });

  it('stay refused when an arm order of an earlier agent reaches the engine late', async () => {
    const { group, serve } = await preparedGroup();
    const port = group.engines[0]?.connect();
    await serve(0, 'outcome', { version: VERSION });
    const late = await port?.order('arm_map', { ...ARM, at_step: ARM.atStep });
    expect(late).to.deep.equal({ outcome: 'refused', reason: 'refused' });
  });

  it('stay armed when the agent restarts', async () => {
    const { group, serve } = await preparedGroup();
    expect(await serve(0, 'arm', ARM)).to.include({ vote: 'armed' });
    group.agent(0).process.kill();
    group.startAgent(0);
    expect(await serve(0, 'outcome', { version: VERSION })).to.include({ vote: 'armed' });
  });

  it('are final refusals after an arm order with an old fencing token', async () => {
    const { group, serve } = await preparedGroup();
    await group.agent(0).member.serve('experts.heartbeat', { fence: 7 });
    expect(await serve(0, 'arm', ARM)).to.include({ vote: 'refused' });
    expect(await serve(0, 'arm', { ...ARM, fence: 7 })).to.include({ vote: 'refused' });
  });

  it('decide nothing while the vote of a rank is missing', () => {
    const armed = (...ranks: number[]) => ({ vote: 'armed', ranks }) as const;
    expect(decisionOf([armed(0), armed(1, 2)], 3)).to.equal('switch');
    expect(decisionOf([armed(0), armed(0), armed(1)], 3)).to.equal(undefined);
    expect(decisionOf([armed(0), { vote: 'refused', ranks: [1] }], 3)).to.equal('abort');
  });
});

// The log is down, so an agent that restarts recovers the fencing token from the others. If it
// restarts after it answered the first round of a registration and before the others did, it gets
// the old token and would accept orders of the replaced coordinator.
describe('registration', () => {
  it('is not complete when an agent restarted during it', async () => {
    const group = createFakeGroup();
    await group.until(() => group.oracle.steps > 20);
    const { faults } = group.fakeLog;
    faults.down = true;
    const { member, coordinator } = group.agent(0);
    const options = {
      node: 'vm-0',
      member,
      members: () => group.names.map((node, rank) => ({ node, ranks: [rank] })),
      layout: group.layout,
      call: (to: string, method: ExpertMethod, args: unknown, ms: number) =>
        group.network.call('vm-0', to, method, args, ms),
    } as unknown as CoordinatorOptions;
    group.network.setDeliveries(({ kind, to, from }) => {
      if (kind !== 'answer' || to !== 'vm-0' || from !== 'vm-1') return undefined;
      group.agent(1).process.kill();
      group.startAgent(1);
      return undefined;
    });
    const registering = registerFence(options, createGroupCalls(options), 99);
    await group.clock.advance(200);
    expect(await registering).to.deep.equal({ outcome: 'incomplete' });
    expect(coordinator.status().fence).to.not.equal(99);
  });
});
