import { createMetrics, silentLogger, sleep, systemClock } from '@plantaindrum/common';
import {
  createExpertMap,
  createGroupCalls,
  createGroupMember,
  evenLayers,
  runChange,
} from '@plantaindrum/experts';
import type {
  CoordinatorOptions,
  EnginePort,
  EngineState,
  ExpertMethod,
  GroupLayout,
  GroupMember,
  GroupTimings,
  PeerOutcome,
} from '@plantaindrum/experts';
import { createEngineOrderClient, createLogClient } from '@plantaindrum/service-clients';
import { createEngineGroupStandIn, createLogStandIn } from '@plantaindrum/stand-ins';
import { quantile } from './balance-simulation.js';

/** How ranks come to agree that a map is switched. */
export type Agreement = 'unanimity' | 'commit-record';
/** What goes wrong in each change. */
export type AgreementFault = 'none' | 'log-slow' | 'log-down' | 'coordinator-dies';

/** Figures of the changes of one setting, medians and worst. */
export interface AgreementResult {
  changes: number;
  switched: number;
  /** Messages between agents, requests and answers, in one change. */
  messages: number;
  appends: number;
  /** From the first arm order to the first step on the decided map, or to the decided abort. */
  effectMsP50: number;
  effectMsMax: number;
  /** Time that the group stood still. */
  stallMsP50: number;
  stallMsMax: number;
  mixedSteps: number;
}

const ONE_WAY_MS = 1;
const STEP_MS = 5;
const SLOW_LOG_MS = 200;
const LOG_OUTAGE_MS = 1_000;
const TOPIC = 'plantaindrum.groups';
/** Until the armed step has come and a rank has held for as long as it waits for a decision. */
const HOLD_NOTICED_MS = 8 * STEP_MS + 30;
/** Longer than any run; a task with this period does nothing in it. */
const NEVER_MS = 100_000_000;

const asPort = (client: ReturnType<typeof createEngineOrderClient>): EnginePort => ({
  order: async (name, body) => {
    const sent = await client.order(name, body as { fence: number });
    if (!sent.ok) return { outcome: 'lost' };
    return sent.value.outcome === 'done' ? { outcome: 'done' } : sent.value;
  },
  state: async () => {
    const read = await client.group();
    return read.ok ? (read.value as EngineState) : undefined;
  },
});

/** A group over HTTP stand-ins, with its agents' calls delayed as between two VMs. */
const createSetting = async (rankCount: number, agreement: Agreement) => {
  const layout: GroupLayout = { rankCount, layers: 2, experts: 64, slots: 64, bytesPerExpert: 1 };
  const logStandIn = await createLogStandIn();
  const engines = await createEngineGroupStandIn({ engines: rankCount, stepMs: STEP_MS });
  const clients = engines.engines.map((url) => createEngineOrderClient({ url, client: 'lab' }));
  const log = createLogClient({ url: logStandIn.url, client: 'lab' });
  const members = new Map<string, GroupMember>();
  const names = clients.map((_, rank) => `vm-${rank}`);
  const counts = { messages: 0 };
  const faults = { losesDecisions: false };
  const isCommit = agreement === 'commit-record';
  const timings: Partial<GroupTimings> = isCommit
    ? { askAfterMs: NEVER_MS, watchMs: NEVER_MS }
    : { askAfterMs: 20, watchMs: 1_000 };

  const call = async (to: string, method: ExpertMethod, args: unknown): Promise<PeerOutcome> => {
    counts.messages += 1;
    await sleep(systemClock, ONE_WAY_MS);
    const value = await members.get(to)?.serve(method, args);
    counts.messages += 1;
    await sleep(systemClock, ONE_WAY_MS);
    return { outcome: 'answered', value };
  };
  const contextOf = (node: string) => ({
    group: 'group-1',
    node,
    instance: node,
    members: () => names.map((name, rank) => ({ node: name, ranks: [rank] })),
    call,
    log,
    clock: systemClock,
    random: Math.random,
    metrics: createMetrics(),
    logger: silentLogger,
    timings,
  });
  clients.forEach((client, rank) => {
    const node = names[rank] ?? '';
    const engine = asPort(client);
    const member = createGroupMember({ ...contextOf(node), rankCount, ranks: [rank], engine });
    members.set(node, member);
    void member.run();
  });
  const options: CoordinatorOptions = {
    ...contextOf('vm-0'),
    call: async (to, method, args) => {
      const isLost = faults.losesDecisions && method === 'experts.decide';
      return isLost ? { outcome: 'lost' } : call(to, method, args);
    },
    timings: { loaders: rankCount, askAfterMs: 20 },
    member: members.get('vm-0') as GroupMember,
    layout,
    weighs: () => 'skew',
    mayMove: () => true,
  };
  const calls = createGroupCalls(options);
  for (const node of names) {
    while (members.get(node)?.status().fence === undefined) await sleep(systemClock, 5);
    await calls.call(node, 'experts.register', { fence: 0 });
  }
  const close = async (): Promise<void> => {
    members.forEach((member) => member.close());
    await Promise.all(clients.map((client) => client.close()));
    await Promise.all([engines.close(), logStandIn.close()]);
  };
  return { layout, logStandIn, engines, log, names, counts, faults, options, calls, close };
};

type Setting = Awaited<ReturnType<typeof createSetting>>;

/** Appends the decision until it stands in the log; the first record for a version decides. */
const recordDecision = async (
  { log }: Setting,
  version: number,
  decision: 'switch' | 'abort',
): Promise<'switch' | 'abort'> => {
  const record = { kind: 'decision', version, decision };
  for (;;) {
    const appended = await log.append(TOPIC, 0, [record]);
    const read = await log.read(TOPIC, 0, 0, 0);
    if (appended.ok && read.ok) {
      const first = read.value
        .map(({ value }) => value as typeof record)
        .find((value) => value.version === version);
      if (first) return first.decision;
    }
    await sleep(systemClock, 20);
  }
};

/** The way that was weighed against unanimity: nothing is decided but by a record in the log. */
const runCommitRecord = async (setting: Setting, version: number): Promise<boolean> => {
  const { calls, names, layout, faults } = setting;
  const map = { version, layers: evenLayers(layout) };
  await calls.callAll(names, 'experts.prepare', { fence: 0, version, map });
  const beats = await calls.callAll<{ ranks: { step: number }[] }>(names, 'experts.heartbeat', {
    fence: 0,
  });
  const steps = [...beats.values()].flatMap((beat) =>
    beat && 'ranks' in beat ? beat.ranks.map(({ step }) => step) : [],
  );
  const atStep = Math.max(...steps) + 8;
  await calls.callAll(names, 'experts.arm', { fence: 0, version, atStep });
  // A coordinator that dies leaves the decision to the first rank that holds; it records "abort".
  if (faults.losesDecisions) await sleep(systemClock, HOLD_NOTICED_MS);
  const wanted = faults.losesDecisions ? 'abort' : 'switch';
  const decision = await recordDecision(setting, version, wanted);
  Object.assign(faults, { losesDecisions: false });
  await calls.callAll(names, 'experts.decide', { version, decision });
  return decision === 'switch';
};

const runUnanimity = async (setting: Setting, version: number): Promise<boolean> => {
  const { calls, names, layout, options } = setting;
  const map = { version, layers: evenLayers(layout) };
  if (!createExpertMap(map, layout).ok) throw new Error('the even map must be valid');
  const outcome = await runChange(options, calls, { fence: 0, map, nodes: names });
  return outcome === 'switched';
};

const causeFault = (setting: Setting, fault: AgreementFault): void => {
  const { logStandIn, faults } = setting;
  if (fault === 'log-slow') logStandIn.setFaults({ delayMs: SLOW_LOG_MS });
  if (fault === 'coordinator-dies') faults.losesDecisions = true;
  if (fault !== 'log-down') return;
  logStandIn.setFaults({ outage: 'all' });
  setTimeout(() => logStandIn.setFaults({ outage: 'none' }), LOG_OUTAGE_MS);
};

/** Measures changes of one group under one fault, over HTTP stand-ins on this machine. */
export const measureAgreement = async (
  agreement: Agreement,
  fault: AgreementFault,
  rankCount: number,
  changes: number,
): Promise<AgreementResult> => {
  const setting = await createSetting(rankCount, agreement);
  const { engines, counts, logStandIn } = setting;
  const effects: number[] = [];
  const stalls: number[] = [];
  const messages: number[] = [];
  const appendsBefore = logStandIn.stats().appends;
  let switched = 0;
  for (let change = 0; change < changes; change += 1) {
    const version = 100 + change;
    engines.resetOracle();
    counts.messages = 0;
    causeFault(setting, fault);
    const startedAt = performance.now();
    const run = agreement === 'unanimity' ? runUnanimity : runCommitRecord;
    const isSwitched = await run(setting, version);
    const isOver = (): boolean =>
      isSwitched ? (engines.oracle().stepsByVersion[version] ?? 0) > 0 : engines.oracle().steps > 0;
    await engines.waitFor(isOver);
    effects.push(performance.now() - startedAt);
    setting.faults.losesDecisions = false;
    const { steps } = engines.oracle();
    await engines.waitFor(() => engines.oracle().steps > steps + 5);
    stalls.push(engines.oracle().holdUs.max / 1000);
    messages.push(counts.messages);
    switched += isSwitched ? 1 : 0;
  }
  const { mixedSteps } = engines.oracle();
  const appends = (logStandIn.stats().appends - appendsBefore) / changes;
  await setting.close();
  const round = (value: number): number => Number(value.toFixed(1));
  return {
    changes,
    switched,
    messages: quantile(messages, 0.5),
    appends: round(appends),
    effectMsP50: round(quantile(effects, 0.5)),
    effectMsMax: round(Math.max(...effects)),
    stallMsP50: round(quantile(stalls, 0.5)),
    stallMsMax: round(Math.max(...stalls)),
    mixedSteps,
  };
};
