/** Links between the agents of a group: each keeps one to the lowest ranks, one of which coordinates. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { silentLogger } from '@plantaindrum/common';
import { createLinkClient, createLinkServer, defaultLinkLimits } from '@plantaindrum/link';
import type { FrameHandler, Link, LinkClient, LinkOptions } from '@plantaindrum/link';
import type { NodeRecord } from '@plantaindrum/mirror';
import type { RankMember } from '../member.js';
import type { OrderOutcome, RankOrder, RankReport } from '../types.js';
import { agentIdentity } from './identity.js';
import { createPlacementBook } from './placement-deltas.js';
import { readDeltaOrder, readOrder, readOrderFor, readPicks, readReport } from './shapes.js';

/** Links of one agent. */
export interface RankLinks {
  /** Takes the published nodes and this agent's own rank. */
  setNodes(nodes: readonly NodeRecord[], group: string, rank: number): void;
  /** Link to the agent of a rank. */
  toRank(rank: number): Link | undefined;
  /** Link to the agent of the highest linked rank, the least likely to coordinate next. */
  toHighest(): Link | undefined;
  /** Whether no agent of a lower rank is linked. */
  isLowest(): boolean;
  /** Link to the lowest rank; undefined when no lower one than this is linked. */
  toLowest(): Link | undefined;
  /** Link to the lowest rank of this data centre, on the way to the lowest of all. */
  toRelay(): Link | undefined;
  close(): Promise<void>;
}

/** Options of `createRankLinks`. */
export interface RankLinksOptions {
  self: NodeRecord;
  region: string;
  member: () => RankMember | undefined;
  /** Gives an order to the engine beside another agent, for that agent. */
  orderFor: (node: string, order: RankOrder) => Promise<OrderOutcome>;
  onReport: (report: RankReport) => void;
  onPicks: (picks: readonly number[]) => void;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/**
 * Lowest ranks that each agent keeps a link to. Three may be lost at once before the others have to
 * dial; a link to every other agent would cost a heartbeat for each pair.
 */
const KEPT_LINKS = 3;
/** And to the lowest of its data centre, which sum picks so that few bytes leave it. */
const KEPT_RELAYS = 2;
/** A link that has been down for this long makes way for one to the next rank, in ms. */
const DOWN_MS = 1_000;
/** Heartbeats: a coordinator that froze is noticed in about a second. */
const LIMITS = {
  ...defaultLinkLimits,
  heartbeatMs: 300,
  heartbeatsMissed: 3,
  helloTimeoutMs: 800,
  connections: 256,
};
const BACKOFF = { firstMs: 50, maxMs: 1_000 };

interface Dialled {
  client: LinkClient;
  node: string;
  downSince: number | undefined;
}

/** Opens the agent's link address; rejects when it is in use. */
export const createRankLinks = async (options: RankLinksOptions): Promise<RankLinks> => {
  const { self, member, clock, random, metrics, log } = options;
  const links = new Map<string, Link>();
  const dialled = new Map<string, Dialled>();
  let ranks = new Map<string, number>();
  let nearby = new Set<string>();
  let ownRank = Infinity;
  const book = createPlacementBook();

  const handlers = {
    'rank.report': async () => member()?.report(),
    'rank.placement': async () => member()?.placement(),
    'rank.order': async (args: unknown) => {
      const order = readOrder(args);
      if (!order) return 'refused';
      if (order.op === 'prepare') book.put(order.epoch, order.version, order.placement);
      return member()?.order(order);
    },
    'rank.prepare-delta': async (args: unknown) => {
      const asked = readDeltaOrder(args);
      if (!asked) return 'refused';
      const { epoch, version, delta } = asked;
      const placement = book.rebuild(epoch, delta);
      if (!placement) return 'unknown-base';
      book.put(epoch, version, placement);
      return member()?.order({ op: 'prepare', epoch, version, placement });
    },
    'rank.order-for': async (args: unknown) => {
      const asked = readOrderFor(args);
      return asked ? options.orderFor(asked.node, asked.order) : 'refused';
    },
  };

  const onLink = (link: Link): FrameHandler => {
    const { node } = link.peer;
    links.set(node, link);
    log.event('rank-linked', { peer: node, rank: ranks.get(node) });
    void link.closed.then((why) => {
      if (links.get(node) === link) links.delete(node);
      log.event('rank-lost', { peer: node, rank: ranks.get(node), why });
    });
    return (frame) => {
      if (frame.t !== 'note') return;
      const report = frame.method === 'rank.report' ? readReport(frame.args) : undefined;
      if (report) options.onReport(report);
      const picks = frame.method === 'rank.picks' ? readPicks(frame.args) : undefined;
      if (picks) options.onPicks(picks);
    };
  };

  const linkOptions: LinkOptions = {
    identity: agentIdentity(self, options.region),
    intentOffset: () => -1,
    limits: LIMITS,
    handlers,
    onLink,
    clock,
    metrics,
    log: silentLogger,
  };
  const listen = { host: self.host, port: self.port };
  const server = await createLinkServer({ ...linkOptions, listen });

  const dial = ({ node, host, port }: NodeRecord): void => {
    const key = `${host}:${port}`;
    if (dialled.has(key)) return;
    const entry: Dialled = {
      node,
      downSince: undefined,
      client: createLinkClient({
        ...linkOptions,
        connect: { host, port },
        backoff: BACKOFF,
        random,
        onDown: () => {
          entry.downSince ??= clock.monotonic();
        },
      }),
    };
    dialled.set(key, entry);
  };

  const isDown = ({ host, port }: NodeRecord): boolean => {
    const entry = dialled.get(`${host}:${port}`);
    if (!entry) return false;
    if (entry.client.link()) entry.downSince = undefined;
    return entry.downSince !== undefined && clock.monotonic() - entry.downSince > DOWN_MS;
  };

  const linkedRanks = (): { node: string; rank: number; link: Link }[] =>
    [...links]
      .flatMap(([node, link]) => {
        const rank = ranks.get(node);
        return rank === undefined ? [] : [{ node, rank, link }];
      })
      .sort((a, b) => a.rank - b.rank);

  const toLowest = (): Link | undefined => {
    const [lowest] = linkedRanks();
    return lowest && lowest.rank < ownRank ? lowest.link : undefined;
  };

  return {
    setNodes: (nodes, group, rank) => {
      ownRank = rank;
      const members = nodes.flatMap((record) =>
        record.group?.name === group ? [{ record, rank: record.group.rank }] : [],
      );
      ranks = new Map(members.map((entry) => [entry.record.node, entry.rank]));
      const lower = members
        .filter((entry) => entry.rank < rank && entry.record.node !== self.node)
        .sort((a, b) => a.rank - b.rank)
        .map(({ record }) => record);
      nearby = new Set(
        lower.filter(({ dataCentre }) => dataCentre === self.dataCentre).map(({ node }) => node),
      );
      const up = lower.filter((record) => !isDown(record));
      const alive = up.slice(0, KEPT_LINKS);
      const relays = up.filter(({ node }) => nearby.has(node)).slice(0, KEPT_RELAYS);
      // Those that are down are dialled on: one of them that comes back coordinates again.
      const down = lower.filter(isDown).slice(0, KEPT_LINKS);
      const keep = [...new Set([...alive, ...relays, ...down])];
      keep.forEach(dial);
      const keys = new Set(keep.map(({ host, port }) => `${host}:${port}`));
      [...dialled].forEach(([key, { client }]) => {
        if (keys.has(key) || client.link()) return;
        dialled.delete(key);
        void client.close();
      });
    },
    toRank: (rank) => linkedRanks().find((entry) => entry.rank === rank)?.link,
    toHighest: () => linkedRanks().at(-1)?.link,
    isLowest: () => toLowest() === undefined,
    toLowest,
    toRelay: () => linkedRanks().find(({ node, rank }) => nearby.has(node) && rank < ownRank)?.link,
    close: async () => {
      await Promise.all([...dialled.values()].map(({ client }) => client.close()));
      await server.close();
    },
  };
};
