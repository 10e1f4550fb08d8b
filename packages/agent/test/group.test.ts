import { agentSettingsSchema, createSeededRandom } from '@plantaindrum/common';
import type { GroupTimings } from '@plantaindrum/experts';
import {
  createEngineGroupStandIn,
  createLogStandIn,
  createVmListStandIn,
} from '@plantaindrum/stand-ins';
import type { EngineGroupStandIn, LogStandIn, VmListStandIn } from '@plantaindrum/stand-ins';
import { expect } from 'chai';
import { startTestAgent } from './support/agent.js';

const GROUP = 'lot-writer-kent';
const ENGINES = 3;
const RANKS_EACH = 2;
const layout = {
  rankCount: ENGINES * RANKS_EACH,
  layers: 2,
  experts: 8,
  slots: 4,
  bytesPerExpert: 1_000,
};
const fastTimings: Partial<GroupTimings> = {
  heartbeatMs: 20,
  takeoverMs: 100,
  callMs: 300,
  watchMs: 50,
  planMs: 100_000,
};

const ranksOf = (index: number): number[] => [index * RANKS_EACH, index * RANKS_EACH + 1];

describe('expert group of agents', () => {
  let engines: EngineGroupStandIn;
  let log: LogStandIn;
  let vms: VmListStandIn;
  let agents: Awaited<ReturnType<typeof startTestAgent>>[] = [];

  beforeEach(async () => {
    engines = await createEngineGroupStandIn({
      engines: ENGINES,
      ranksPerEngine: RANKS_EACH,
      group: GROUP,
      formed: false,
      layers: layout.layers,
      experts: layout.experts,
    });
    log = await createLogStandIn();
    vms = await createVmListStandIn();
  });

  afterEach(async () => {
    await Promise.all(agents.splice(0).map((agent) => agent.stop()));
    await engines.close();
    await vms.close();
    await log.close();
  });

  const startOne = (url: string, index: number) => {
    const settings = agentSettingsSchema.parse({
      node: { name: `kent-m${index}`, dataCentre: 'kent', region: 'nw' },
      link: { port: 0 },
      operators: { port: 0, token: 'operators-token' },
      upstream: { kind: 'model', url, group: GROUP, ranks: ranksOf(index), layout },
      platform: { logUrl: log.url, vmListUrl: vms.url },
    });
    return startTestAgent(
      url,
      {},
      { settings, groupTimings: fastTimings, random: createSeededRandom(index + 1) },
    );
  };

  const publishVmList = () =>
    vms.setVms(
      agents.map((agent, index) => ({
        targets: [agent.link],
        labels: {
          ...{ vm: `kent-m${index}`, role: 'upstream', data_centre: 'kent', region: 'nw' },
          ...{ state: 'live', kind: 'model', model: 'lot-writer', group: GROUP },
          ranks: ranksOf(index).join(','),
        },
      })),
    );

  const startAll = async () => {
    agents = await Promise.all(engines.engines.map(startOne));
    publishVmList();
  };

  const steps = () => engines.oracle().steps;

  // The engines start without a map and step only once a coordinator has formed the group. The agents
  // find each other in the VM list, one claims the group, and all ranks get the same map.
  it('forms the group with one map on all ranks', async () => {
    await startAll();
    await engines.waitFor(() => steps() > 20);
    expect(engines.oracle().mixedSteps).to.equal(0);
  });

  // An engine loses its memory in a crash, and its agent is replaced at another address. The group
  // cannot step without the engine's ranks; the coordinator forms it again, and no step mixes maps.
  it('forms the group again after an engine and its agent were replaced', async () => {
    await startAll();
    await engines.waitFor(() => steps() > 20);
    await engines.kill(1);
    await agents[1]?.stop();
    await engines.restart(1);
    agents[1] = await startOne(engines.engines[1] ?? '', 1);
    publishVmList();
    const before = steps();
    await engines.waitFor(() => steps() > before + 20);
    expect(engines.oracle().mixedSteps).to.equal(0);
  });

  const roleOf = async (agent: { operators: string }): Promise<string> => {
    const headers = { authorization: 'Bearer operators-token' };
    const res = await fetch(`${agent.operators}/status`, { headers });
    const { group } = (await res.json()) as { group: { coordinator: { role: string } } };
    return group.coordinator.role;
  };

  const findActingCoordinator = async (candidates: typeof agents): Promise<number> => {
    for (;;) {
      const roles = await Promise.all(candidates.map(roleOf));
      if (roles.includes('acting')) return roles.indexOf('acting');
    }
  };

  // The agent that coordinates the group is replaced. The engines keep stepping, as no step needs the
  // coordinator; once all ranks are reachable again a coordinator takes over without a new map.
  it('keeps stepping while its coordinator is replaced', async () => {
    await startAll();
    await engines.waitFor(() => steps() > 20);
    const first = await findActingCoordinator(agents);
    await agents[first]?.stop();
    const before = steps();
    await engines.waitFor(() => steps() > before + 20);
    agents[first] = await startOne(engines.engines[first] ?? '', first);
    publishVmList();
    await findActingCoordinator(agents);
    expect(engines.oracle().mixedSteps).to.equal(0);
    expect(Object.keys(engines.oracle().stepsByVersion)).to.have.length(1);
  });
});
