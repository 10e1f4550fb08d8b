/** Plays the cases at one site. */

import { readFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { planQuery } from '@plantaindrum/stand-ins';
import type { Framing } from '@plantaindrum/stand-ins';
import type { Random } from '@plantaindrum/common';
import { createCallers } from './callers.js';
import { drawBroken, drawComplete, ENDING_CASES } from './cases.js';
import type { EndingCase, EntryLoad, PlannedCall } from './cases.js';
import type { PlayedCall } from './figures.js';
import { holdProcesses } from './hold.js';
import type { EndingSite, SiteOptions } from './site.js';

/** Numbers of requests. */
export interface PlaySize {
  pairs: number;
  loads: readonly EntryLoad[];
  /** Broken answers in each case. */
  brokenPerCase: number;
  /** Complete answers with which the cost of the check is measured under each load. */
  timed: number;
  /** Requests that are sent at once under the load of hundreds. */
  burst: number;
}

/** The requests of one case under one load. */
export interface PlayedCase {
  name: string;
  load: EntryLoad;
  calls: PlayedCall[];
  /** Complete answers under this load, with a length and without framing in turn. */
  timed: readonly PlayedCall[];
}

/** What was played at one site. */
export interface PlayedSite {
  cases: PlayedCase[];
  /** Answers that no entry can tell from truncated ones, or truncated ones from whole ones. */
  undecidable: { ended: PlayedCall[]; cut: PlayedCall[] };
  /** Processor time of all entries and agents, and connections to upstreams, for each complete answer that is timed. */
  cost: Record<Framing, AnswerCost>;
}

/** What answers cost with one kind of framing. */
export interface AnswerCost {
  cpuMs: number;
  connections: number;
}

const SETTLE_MS = 1_200;
/** Time for entries to know the successor of an upstream, in ms. */
const SUCCESSOR_MS = 500;
const COMPANIONS = 4;
const COMPANION_MS = 300;
const ACTIVITY_MS = 150;
/** Answers with which costs are measured, for each timed one: processor time is counted in steps of 10 ms. */
const COST_FACTOR = 3;
/** Part of the answers of a case that fall silent: each takes seconds. */
const SILENT_FRACTION = 1 / 3;
const UNDECIDABLE_CUTS = 12;

const HOLDS: Readonly<Record<EntryLoad, { heldMs: number; freeMs: number } | undefined>> = {
  idle: undefined,
  'held-3-ms': { heldMs: 3, freeMs: 9 },
  'held-20-ms': { heldMs: 20, freeMs: 40 },
  'hundreds-at-once': undefined,
};

/** Plays all cases at a site that `startSite` starts. */
export const playSite = async (
  startSite: (options: SiteOptions) => Promise<EndingSite>,
  random: Random,
  size: PlaySize,
  prefix: string,
): Promise<PlayedSite> => {
  const runsFolder = await mkdtemp(join(tmpdir(), 'plantaindrum-runs-'));
  const endedAt = new Map<string, number>();
  const leavingIds = new Set<string>();
  const succeededIds = new Set<string>();
  let lastId = 0;
  let connections = 0;
  let announceLeaving: EndingSite['announceLeaving'] = () => {};
  const running = await startSite({
    pairs: size.pairs,
    runsFolder,
    onConnected: () => {
      connections += 1;
    },
    onBegun: (upstream, id) => {
      // Only the first run of a request is broken off.
      if (leavingIds.delete(id)) announceLeaving(upstream);
      if (succeededIds.delete(id)) upstream.prepareSuccessor();
    },
    onEnded: (id, at) => endedAt.set(id, at),
  });
  ({ announceLeaving } = running);
  const callers = createCallers();

  const nextId = (): string => {
    lastId += 1;
    return `${prefix}${lastId}`;
  };

  const runsOf = (id: string): number => {
    try {
      return readFileSync(join(runsFolder, id)).length;
    } catch {
      return 0;
    }
  };

  const send = async (pair: number, call: PlannedCall): Promise<PlayedCall> => {
    const { url, headers, body } = running.callOf(pair, call);
    const received = await callers.send({ url: `${url}?${planQuery(call.plan)}`, headers, body });
    const { id } = call.plan;
    return { ...call, received, runs: runsOf(id), endedAt: endedAt.get(id), isUndecidable: false };
  };

  const sendCompanions = (pair: number): Promise<PlayedCall>[] =>
    Array.from({ length: COMPANIONS }, async () => {
      const call = drawComplete(random, nextId(), 'none');
      const slow = { ...call, plan: { ...call.plan, delayMs: COMPANION_MS } };
      const played = await send(pair, slow);
      return { ...played, isUndecidable: true };
    });

  /** Sends complete streams until `isDone`: the service is seen to work. */
  const sendUntil = async (pair: number, isDone: () => boolean): Promise<PlayedCall[]> => {
    const calls: Promise<PlayedCall>[] = [];
    while (!isDone()) {
      const { plan } = drawComplete(random, nextId(), 'chunks');
      calls.push(send(pair, { kind: 'resumable-stream', plan: { ...plan, isStream: true } }));
      await delay(ACTIVITY_MS);
    }
    return Promise.all(calls);
  };

  /** Sends one broken answer, alone at its pair of upstreams but for what its case needs. */
  const playBroken = async (pair: number, ending: EndingCase): Promise<PlayedCall[]> => {
    const call = drawBroken(random, nextId(), ending, 'idle');
    if (ending.fate === 'leaving') leavingIds.add(call.plan.id);
    if (ending.fate === 'succeeded') succeededIds.add(call.plan.id);
    const companions = ending.fate === 'checked' ? sendCompanions(pair) : [];
    let isDone = false;
    const sent = send(pair, call).finally(() => {
      isDone = true;
    });
    const others = ending.name === 'silence' ? await sendUntil(pair, () => isDone) : [];
    const played = [await sent, ...others, ...(await Promise.all(companions))];
    if (ending.fate !== 'runs') {
      await running.settled(pair);
      await delay(SUCCESSOR_MS);
    }
    return played;
  };

  const framingOf = (n: number): Framing => (n % 2 === 0 ? 'length' : 'none');

  /** Plays a case: a complete answer and a broken one in turn at each pair. */
  const playCase = async (ending: EndingCase): Promise<PlayedCall[]> => {
    const fraction = ending.name === 'silence' ? SILENT_FRACTION : 1;
    const perPair = Math.ceil((size.brokenPerCase * fraction) / size.pairs);
    const playPair = async (pair: number): Promise<PlayedCall[]> => {
      const calls: PlayedCall[] = [];
      for (let n = 0; n < perPair; n += 1) {
        calls.push(await send(pair, drawComplete(random, nextId(), framingOf(n))));
        calls.push(...(await playBroken(pair, ending)));
      }
      return calls;
    };
    const pairs = Array.from({ length: size.pairs }, (_, pair) => playPair(pair));
    return (await Promise.all(pairs)).flat();
  };

  const sendAtOnce = (draw: (n: number) => PlannedCall): Promise<PlayedCall[]> =>
    Promise.all(Array.from({ length: size.burst }, (_, n) => send(n % size.pairs, draw(n))));

  /** Sends hundreds of requests at once, a third of them broken off by upstreams that run on. */
  const playBurst = (ending: EndingCase): Promise<PlayedCall[]> =>
    sendAtOnce((n) =>
      n % 3 === 0
        ? drawBroken(random, nextId(), ending, 'hundreds-at-once')
        : drawComplete(random, nextId(), framingOf(n % 3)),
    );

  /** Sends complete answers, with a length and without framing in turn. */
  const playTimed = async (load: EntryLoad): Promise<PlayedCall[]> => {
    const draw = (n: number): PlannedCall => drawComplete(random, nextId(), framingOf(n));
    if (load === 'hundreds-at-once') return sendAtOnce((n) => draw(Math.floor(n / size.pairs)));
    const calls: PlayedCall[] = [];
    for (let n = 0; n < size.timed; n += 1) calls.push(await send(0, draw(n)));
    return calls;
  };

  const measureCost = async (framing: Framing): Promise<AnswerCost> => {
    const cpuBefore = await running.cpuMs();
    const connectionsBefore = connections;
    const calls = size.timed * COST_FACTOR;
    for (let n = 0; n < calls; n += 1) await send(0, drawComplete(random, nextId(), framing));
    return {
      cpuMs: ((await running.cpuMs()) - cpuBefore) / calls,
      connections: (connections - connectionsBefore) / calls,
    };
  };

  const endingCasesOf = (load: EntryLoad): readonly EndingCase[] =>
    load === 'hundreds-at-once'
      ? ENDING_CASES.filter(({ fate, name }) => fate === 'runs' && name !== 'silence')
      : ENDING_CASES;

  const playLoad = async (load: EntryLoad): Promise<PlayedCase[]> => {
    const hold = HOLDS[load];
    const release = hold ? holdProcesses(running.entryPids(), hold) : () => {};
    try {
      const timed = await playTimed(load);
      const cases: PlayedCase[] = [{ name: 'complete', load, calls: timed, timed }];
      for (const ending of endingCasesOf(load)) {
        const play = load === 'hundreds-at-once' ? playBurst : playCase;
        cases.push({ name: ending.name, load, calls: await play(ending), timed });
      }
      return cases;
    } finally {
      release();
    }
  };

  /** Streams without framing whose upstream ends its side between two events, and runs on. */
  const playUndecidableCuts = (): Promise<PlayedCall[]> =>
    Promise.all(
      Array.from({ length: UNDECIDABLE_CUTS }, (_, n) => {
        const { plan } = drawComplete(random, nextId(), 'none');
        const cut = { ending: 'cut', cutPoint: 'between', cutAfter: 2, isStream: true } as const;
        return send(n % size.pairs, { kind: 'single-stream', plan: { ...plan, ...cut } });
      }),
    );

  try {
    await delay(SETTLE_MS);
    const cost = {
      length: await measureCost('length'),
      chunks: await measureCost('chunks'),
      none: await measureCost('none'),
    };
    const cases: PlayedCase[] = [];
    for (const load of size.loads) cases.push(...(await playLoad(load)));
    const calls = cases.flatMap((played) => played.calls);
    const cut = await playUndecidableCuts();
    const ended = calls.filter(({ isUndecidable }) => isUndecidable);
    return { cases, undecidable: { ended, cut }, cost };
  } finally {
    callers.close();
    await running.close();
    await rm(runsFolder, { recursive: true });
  }
};
