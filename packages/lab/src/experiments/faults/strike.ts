/** Carries out the faults of a plan on a running site, and mends them. */
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import type { Site, SiteUpstream } from '../../harness/site-types.js';
import { setFaults } from '../../harness/stand-ins.js';
import type { FaultSite } from './fault-site.js';
import type { FaultKind, PlannedFault } from './plan.js';

/** A fault as it happened; times in milliseconds of `performance.now()`. */
export interface Strike {
  kind: FaultKind;
  what: string;
  beganAt: number;
  endedAt: number;
}

/** What a fault needs. */
interface Context extends FaultSite {
  fault: PlannedFault;
  lasts(): Promise<void>;
}

/** Carries out one fault, waits, mends it; gives the name of what it struck. */
type Strikes = (context: Context) => Promise<string>;

const LOST_ANSWERS = 5;
const FEW_CALLS = 4;
const STOP_GRACE_MS = 10_000;
const LAG_MS = 3_000;

const one = <T>(list: readonly T[], pick: number): T => list[Math.floor(pick * list.length)] as T;

const postJson = async (url: string, body: unknown): Promise<void> => {
  const res = await request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  await res.body.dump();
};

const replaceAgent = async (site: Site, { name }: SiteUpstream): Promise<void> => {
  await site.restartAgent(name);
  await site.publish();
};

const atWork = new Set<string>();

/** A coordinator may be struck while its agent is being replaced: then nothing more is done. */
const strikeAgent = async (
  context: Context,
  upstream: SiteUpstream,
  act: (context: Context, upstream: SiteUpstream) => Promise<void>,
): Promise<string> => {
  const { name } = upstream;
  if (atWork.has(name)) return `${name} (left out)`;
  atWork.add(name);
  await act(context, upstream);
  atWork.delete(name);
  return name;
};

const onAgent =
  (act: (context: Context, upstream: SiteUpstream) => Promise<void>): Strikes =>
  (context) =>
    strikeAgent(context, one(context.site.upstreams, context.fault.pick), act);

const freeze = async ({ lasts }: Context, { agent }: SiteUpstream): Promise<void> => {
  agent.signal('SIGSTOP');
  await lasts();
  agent.signal('SIGCONT');
};

interface AgentStatusView {
  group?: { coordinator?: { role?: string } };
}

const isActing = async ({ name, kind, operators }: SiteUpstream): Promise<boolean> => {
  if (kind !== 'model' || atWork.has(name)) return false;
  try {
    const status = (await operators.status()) as AgentStatusView;
    return status.group?.coordinator?.role === 'acting';
  } catch {
    return false;
  }
};

/** Freezes the agent that coordinates a group now; any agent when none does. */
const freezeCoordinator: Strikes = async (context) => {
  const { upstreams } = context.site;
  const acting = await Promise.all(upstreams.map((upstream) => isActing(upstream)));
  const coordinators = upstreams.filter((_, at) => acting[at]);
  const upstream = one(coordinators.length > 0 ? coordinators : upstreams, context.fault.pick);
  return strikeAgent(context, upstream, freeze);
};

let replaced = 0;

/** Ends an entry in some way and puts a new VM in its place. */
const replaceEntry =
  (end: (process: Site['entries'][number]['process']) => Promise<unknown>): Strikes =>
  async ({ site, fault, lasts }) => {
    const entry = one(site.entries, fault.pick);
    const ended = end(entry.process);
    await lasts();
    await ended;
    site.entries.splice(site.entries.indexOf(entry), 1);
    replaced += 1;
    const { dataCentre } = entry;
    await site.startEntry({ name: `${dataCentre}-entry-r${replaced}`, dataCentre });
    await site.publish();
    return entry.url;
  };

const freezeEntry: Strikes = async ({ site, fault, lasts }) => {
  const entry = one(site.entries, fault.pick);
  entry.process.signal('SIGSTOP');
  await lasts();
  entry.process.signal('SIGCONT');
  return entry.url;
};

const onLink =
  (
    strike: (
      forwarder: NonNullable<ReturnType<FaultSite['forwarders']['get']>>,
      lasts: Context['lasts'],
    ) => Promise<void>,
  ): Strikes =>
  async ({ forwarders, fault, lasts }) => {
    const name = one([...forwarders.keys()].sort(), fault.pick);
    const forwarder = forwarders.get(name);
    if (forwarder) await strike(forwarder, lasts);
    return name;
  };

const onLog =
  (change: Record<string, unknown>, mended: Record<string, unknown>): Strikes =>
  async ({ site, lasts }) => {
    await setFaults(site.platform.ready.log, change);
    await lasts();
    await setFaults(site.platform.ready.log, mended);
    return 'log';
  };

const onEngine =
  (change: Record<string, unknown>, mended?: Record<string, unknown>): Strikes =>
  async ({ site, fault, lasts }) => {
    const group = one(site.groups, fault.pick);
    const engine = Math.floor(fault.pick * 4) % group.spec.engines;
    const { control } = group.process.ready;
    await setFaults(control, { engine, ...change });
    await lasts();
    if (mended) await setFaults(control, { engine, ...mended });
    return `${group.spec.name}-${engine + 1}`;
  };

const onService =
  (change: Record<string, unknown>, mended: Record<string, unknown>): Strikes =>
  async ({ site, fault, lasts }) => {
    const replicas = site.services.flatMap(({ processes }) => processes);
    const { name, ready } = one(replicas, fault.pick);
    await setFaults(ready.control, change);
    await lasts();
    await setFaults(ready.control, mended);
    return name;
  };

const strikes: Record<FaultKind, Strikes> = {
  'agent-killed': onAgent(async ({ site, lasts }, upstream) => {
    await upstream.agent.kill();
    await lasts();
    await replaceAgent(site, upstream);
  }),
  'agent-frozen': onAgent(freeze),
  'coordinator-frozen': freezeCoordinator,
  'agent-left': onAgent(async ({ site, lasts }, upstream) => {
    await upstream.agent.stop(STOP_GRACE_MS);
    await lasts();
    await replaceAgent(site, upstream);
  }),
  'entry-killed': replaceEntry((process) => process.kill()),
  'entry-frozen': freezeEntry,
  'entry-left': replaceEntry((process) => process.stop(STOP_GRACE_MS)),
  'link-cut': onLink(async (forwarder) => forwarder.cut()),
  'link-refused': onLink(async (forwarder, lasts) => {
    forwarder.refuse(true);
    forwarder.cut();
    await lasts();
    forwarder.refuse(false);
  }),
  'link-held': onLink(async (forwarder, lasts) => {
    forwarder.set('to-target', 'hold');
    forwarder.set('from-target', 'hold');
    await lasts();
    forwarder.set('from-target', 'pass');
    forwarder.set('to-target', 'pass');
  }),
  'link-half-open': onLink(async (forwarder, lasts) => {
    forwarder.set('from-target', 'drop');
    await lasts();
    forwarder.cut();
    forwarder.set('from-target', 'pass');
  }),
  'log-outage': onLog({ outage: 'all' }, { outage: 'none' }),
  'log-appends-out': onLog({ outage: 'append' }, { outage: 'none' }),
  'log-slow': onLog({ delayMs: 1_000 }, { delayMs: 0 }),
  'log-answers-lost': onLog({ loseAnswers: LOST_ANSWERS }, { loseAnswers: 0 }),
  'log-silent': onLog({ silentClients: ['*'] }, { silentClients: [] }),
  'vm-list-lags': async ({ site, lasts }) => {
    await postJson(`${site.platform.ready.vms}/lag`, { lagMs: LAG_MS });
    await lasts();
    await postJson(`${site.platform.ready.vms}/lag`, { lagMs: 300 });
    return 'vm-list';
  },
  'vm-list-out': async ({ site, lasts }) => {
    await setFaults(site.platform.ready.vms, { outage: 'all' });
    await lasts();
    await setFaults(site.platform.ready.vms, { outage: 'none' });
    return 'vm-list';
  },
  'engine-frozen': onEngine({ frozen: true }, { frozen: false }),
  'engine-breaks-streams': onEngine({ breakStreams: { count: FEW_CALLS, afterTokens: 5 } }),
  'engine-refuses': onEngine({ refuses: true }, { refuses: false }),
  'engine-slow': onEngine({ speeds: [1, 0.3] }, { speeds: [1, 1] }),
  'engine-loses-orders': onEngine(
    { orders: [{ fault: 'lose-answer', count: FEW_CALLS }] },
    { orders: [] },
  ),
  'engine-orders-twice': onEngine(
    { orders: [{ fault: 'twice', count: FEW_CALLS }] },
    { orders: [] },
  ),
  'service-resets-before': onService({ resetBefore: FEW_CALLS }, { resetBefore: 0 }),
  'service-resets-after': onService({ resetAfter: FEW_CALLS }, { resetAfter: 0 }),
  'service-breaks-off': onService({ breakOff: FEW_CALLS }, { breakOff: 0 }),
  'service-holds': onService({ hold: true }, { hold: false }),
  'service-out': onService({ outage: true }, { outage: false }),
};

/** Carries out one fault from its beginning to its mending. */
export const strike = async (target: FaultSite, fault: PlannedFault): Promise<Strike> => {
  const beganAt = performance.now();
  const lasts = (): Promise<void> => delay(fault.lastsMs);
  const what = await strikes[fault.kind]({ ...target, fault, lasts });
  return { kind: fault.kind, what, beganAt, endedAt: performance.now() };
};

/** Carries out a plan, each fault at its time whether or not earlier ones are mended. */
export const strikeAll = async (
  target: FaultSite,
  plan: PlannedFault[],
  print: (line: string) => void,
): Promise<Strike[]> => {
  const begun = performance.now();
  const carryOut = async (fault: PlannedFault): Promise<Strike> => {
    await delay(Math.max(0, begun + fault.atMs - performance.now()));
    const done = await strike(target, fault);
    const from = Math.round(done.beganAt - begun);
    print(`${fault.kind} ${done.what}: ${from} to ${Math.round(done.endedAt - begun)} ms`);
    return done;
  };
  return Promise.all(plan.map(carryOut));
};
