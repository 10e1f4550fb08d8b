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

// A rank told the others "refused", so they have aborted; then its agent restarts and forgets. If
// a copy of the arm order still armed it, an armed rank that asks now would hear "armed" from all
// and switch alone: a mixed step. The engine must keep the refusal.
describe('votes', () => {
  it('stay refused when the agent restarts', async () => {
    const { group, serve } = await preparedGroup();
    expect(await serve(0, 'outcome', { version: VERSION })).to.include({ vote: 'refused' });
    group.agent(0).process.kill();
    group.startAgent(0);
    await group.clock.advance(20);
    expect(await serve(0, 'arm', ARM)).to.include({ vote: 'refused' });
  });

  it('stay refused when an arm order of a dead agent reaches the engine late', async () => {
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

  it('of an arm under an old number are refusals that last', async () => {
    const { group, serve } = await preparedGroup();
    await group.agent(0).member.serve('experts.heartbeat', { fence: 7 });
    expect(await serve(0, 'arm', ARM)).to.include({ vote: 'refused' });
    expect(await serve(0, 'arm', { ...ARM, fence: 7 })).to.include({ vote: 'refused' });
  });

  it('decide nothing while a rank is unheard', () => {
    const armed = (...ranks: number[]) => ({ vote: 'armed', ranks }) as const;
    expect(decisionOf([armed(0), armed(1, 2)], 3)).to.equal('switch');
    expect(decisionOf([armed(0), armed(0), armed(1)], 3)).to.equal(undefined);
    expect(decisionOf([armed(0), { vote: 'refused', ranks: [1] }], 3)).to.equal('abort');
  });
});

// The log is down, so an agent that restarts asks the others for the number to obey. It answered
// the first round of a registration and restarts before the others have answered theirs: they
// tell it the old number, and it would obey the deposed coordinator.
describe('registration', () => {
  it('is not complete when an agent restarted during it', async () => {
    const group = createFakeGroup();
    await group.until(() => group.oracle.steps > 20);
    Object.assign(group.fakeLog.faults, { isDown: true });
    const { member, coordinator } = group.agent(0);
    const options = {
      node: 'vm-0',
      member,
      members: () => group.names.map((node, rank) => ({ node, ranks: [rank] })),
      layout: group.layout,
      call: (to: string, method: ExpertMethod, args: unknown, ms: number) =>
        group.network.call('vm-0', to, method, args, ms),
    } as unknown as CoordinatorOptions;
    group.network.setFates(({ kind, to, from }) => {
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
