/** A group's agents on links of little bandwidth, in one process on a clock that tests drive. */

import { createMetrics, createSeededRandom, sleep } from '@plantaindrum/common';
import type { EventLog, ManualClock } from '@plantaindrum/common';
import { encodeFrame } from '@plantaindrum/link';
import type { CallOutcome, Link } from '@plantaindrum/link';
import { createCoordinator } from '../../src/index.js';
import type { GroupShape, RankEngine } from '../../src/index.js';
import { createNewsReader } from '../../src/links/news-reader.js';
import type { NewsReader } from '../../src/links/news-reader.js';
import { createPlacementBook } from '../../src/links/placement-deltas.js';
import { createRankMember } from '../../src/member.js';
import type { RankMember } from '../../src/member.js';
import { buildTree, relaysOf } from '../../src/tree/group-tree.js';
import { createRankMethods } from '../../src/tree/rank-methods.js';
import { createRankPort } from '../../src/tree/rank-port.js';
import { createTreeCalls } from '../../src/tree/tree-calls.js';
import type { FakeRanks } from './fake-ranks.js';

/** Options of `createSlowGroup`. */
export interface SlowGroupOptions {
  ranks: number;
  dataCentres: number;
  /** Bytes that an agent's link carries in a millisecond, each way. */
  bytesPerMs: number;
  shape: GroupShape;
  group: FakeRanks;
  clock: ManualClock;
  /** How often a rank has picked each expert, set by set. */
  counts: (rank: number) => number[];
  log: EventLog;
}

/** The agents of the group; rank 0 coordinates. */
export interface SlowGroup {
  /** Agents that take and send nothing; their engines go on. */
  frozen: Set<number>;
  /** Bytes that have left each agent, and come to it. */
  sent: readonly number[];
  received: readonly number[];
  close(): void;
}

const DELAY_MS = 0.5;
const ENGINE_MS = 4;
/** Headers of a packet on the link. */
const PACKET_BYTES = 60;

/** Starts the agents, and the coordinator beside rank 0. */
export const createSlowGroup = (options: SlowGroupOptions): SlowGroup => {
  const { ranks, clock, group, shape, log } = options;
  const all = Array.from({ length: ranks }, (_, rank) => rank);
  const frozen = new Set<number>();
  const sent = all.map(() => 0);
  const received = all.map(() => 0);
  const freeAt = { up: all.map(() => 0), down: all.map(() => 0) };
  const members: RankMember[] = [];
  const serve: ((args: unknown) => Promise<unknown>)[] = [];
  const tree = buildTree(
    all.map((rank) => ({ rank, dataCentre: `dc-${rank % options.dataCentres}` })),
  );

  const pass = async (way: 'up' | 'down', rank: number, bytes: number): Promise<void> => {
    const free = Math.max(freeAt[way][rank] ?? 0, clock.monotonic()) + bytes / options.bytesPerMs;
    freeAt[way][rank] = free;
    await sleep(clock, free - clock.monotonic());
  };

  const carry = async (from: number, to: number, value: unknown): Promise<void> => {
    const bytes = encodeFrame({ t: 'reply', seq: 1, ok: true, value }).length + PACKET_BYTES;
    sent[from] = (sent[from] ?? 0) + bytes;
    received[to] = (received[to] ?? 0) + bytes;
    await pass('up', from, bytes);
    await sleep(clock, DELAY_MS);
    await pass('down', to, bytes);
  };

  const call = (from: number, to: number, args: unknown, timeoutMs: number) =>
    new Promise<CallOutcome>((resolve) => {
      clock.after(timeoutMs, () => resolve({ outcome: 'lost' }));
      const run = async (): Promise<void> => {
        await carry(from, to, args);
        if (frozen.has(to)) return;
        const value = await serve[to]?.(args);
        await carry(to, from, value);
        if (!frozen.has(from)) resolve({ outcome: 'answered', value });
      };
      void run();
    });

  const isLinked = (a: number, b: number): boolean => {
    const [low, high] = a < b ? [a, b] : [b, a];
    return low === 0 || relaysOf(tree, high, () => true).includes(low);
  };
  const linkFrom =
    (from: number) =>
    (to: number): Link | undefined => {
      if (to === from || !isLinked(from, to)) return undefined;
      const link: Pick<Link, 'call'> = {
        call: (_, args, timeoutMs) => call(from, to, args, timeoutMs),
      };
      return link as Link;
    };

  const port = group.port(() => true);
  const engineOf = (rank: number): RankEngine => {
    const after = async <T>(value: () => T): Promise<T> => {
      await sleep(clock, ENGINE_MS);
      return value();
    };
    return {
      report: () => after(() => group.report(rank)),
      counts: () =>
        after(() => ({ startedAt: 0, epoch: 1, step: group.step(), counts: options.counts(rank) })),
      placement: () => after(() => group.placement(rank)),
      order: async (order) => after(() => port.order(rank, order)),
    };
  };

  const metrics = createMetrics();
  const agents = all.map((rank) => {
    const member = createRankMember({
      engine: engineOf(rank),
      onReport: () => {},
      isWatched: () => false,
      ...{ clock, metrics, log: rank === 0 ? log : { event: () => {}, flush: () => {} } },
    });
    const book = createPlacementBook();
    const methods = createRankMethods({ member: () => member, book, onNodes: () => {}, clock });
    const linkTo = linkFrom(rank);
    const calls = createTreeCalls({ linkTo, methods });
    members.push(member);
    serve.push(calls.serve);
    return { member, book, methods, linkTo, calls };
  });
  const [first] = agents;
  if (!first) throw new Error('a group has a rank');

  const rankPort = createRankPort({
    ...first,
    ownRank: () => 0,
    tree: () => tree,
    direct: async () => undefined,
    ...{ clock, metrics, log },
  });
  let newsEveryMs = (): number => 0;
  const coordinator = createCoordinator({
    port: rankPort,
    ownRank: 0,
    shape,
    weighs: 'skew',
    isLowest: () => true,
    untilLowest: async () => {},
    knownPlacement: first.book.find,
    newsEveryMs: () => newsEveryMs(),
    orderOwnFromAfar: (order) => port.order(0, order),
    ...{ clock, metrics, log },
    random: createSeededRandom(5),
  });
  const news: NewsReader = createNewsReader({
    untilCoordinating: async () => {},
    news: rankPort.news,
    onReport: (report) => coordinator.onUpdate({ report, picks: [] }),
    onPicks: (picks) => coordinator.onPicks(picks),
    clock,
  });
  newsEveryMs = news.everyMs;

  return {
    frozen,
    sent,
    received,
    close: () => {
      coordinator.close();
      news.close();
      members.forEach((member) => member.close());
    },
  };
};
