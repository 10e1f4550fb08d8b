/** Links between the agents of a group: each keeps one to the lowest ranks, one of which coordinates. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { silentLogger } from '@plantaindrum/common';
import { createLinkClient, createLinkServer, defaultLinkLimits } from '@plantaindrum/link';
import type { FrameHandler, Link, LinkClient, LinkOptions } from '@plantaindrum/link';
import type { NodeRecord } from '@plantaindrum/mirror';
import { buildTree, relaysOf } from '../tree/group-tree.js';
import type { GroupTree } from '../tree/group-tree.js';
import { packNumbers, unpackNumbers } from '../tree/packing.js';
import { TREE_CALL } from '../tree/tree-calls.js';
import type { GroupShape, OrderOutcome, RankOrder } from '../types.js';
import { readToldShape } from './group-shape.js';
import { agentIdentity } from './identity.js';
import { HEARTBEAT_MS, heartbeatMsWith } from './heartbeat-pace.js';
import { createLead } from './lead.js';
import { readOrderFor } from './shapes.js';

/** Links of one agent. */
export interface RankLinks {
  /** Takes the published nodes and this agent's own rank. */
  setNodes(nodes: readonly NodeRecord[], group: string, rank: number): void;
  /** Link to the agent of a rank. */
  toRank(rank: number): Link | undefined;
  /** Asks the agent of the lowest linked rank for the group's shape; undefined where it isn't told. */
  askShape(): Promise<GroupShape | undefined>;
  /** Link to the agent of the highest linked rank, the least likely to coordinate next. */
  toHighest(): Link | undefined;
  /** Whether no agent of a lower rank is linked. */
  isLowest(): boolean;
  /** Resolves once no agent of a lower rank is linked. */
  untilLowest(): Promise<void>;
  /** The group's ranks as calls to all of them are passed on. */
  tree(): GroupTree;
  /** Tells what was counted to the agent that coordinates next, so that it need not begin anew. */
  tellStandby(picks: readonly number[]): void;
  close(): Promise<void>;
}

/** Options of `createRankLinks`. */
export interface RankLinksOptions {
  self: NodeRecord;
  region: string;
  /** Serves a call along the tree. */
  serveTree: (args: unknown) => Promise<unknown>;
  /** Ranks of the group, as far as is known. */
  groupSize: () => number;
  /** Gives an order to the engine beside another agent, for that agent. */
  orderFor: (node: string, order: RankOrder) => Promise<OrderOutcome>;
  /** The group's shape where it is known here. */
  shape: () => GroupShape | undefined;
  /** Takes what the coordinator's agent passes on to its successor. */
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
/** A link that has been down for this long makes way for one to the next rank, in ms. */
const DOWN_MS = 1_000;
const LIMITS = {
  ...defaultLinkLimits,
  heartbeatMs: HEARTBEAT_MS,
  heartbeatsMissed: 3,
  helloTimeoutMs: 800,
  connections: 1_024,
};
const BACKOFF = { firstMs: 50, maxMs: 1_000 };

const PICKS_NOTE = 'rank.picks';
const SHAPE_CALL = 'rank.shape';
/** Time for the answer to a question over a link, in ms. */
const ASK_MS = 400;

interface Dialled {
  client: LinkClient;
  node: string;
  downSince: number | undefined;
}

/** Opens the agent's link address; rejects when it is in use. */
export const createRankLinks = async (options: RankLinksOptions): Promise<RankLinks> => {
  const { self, clock, random, metrics, log } = options;
  const links = new Map<string, Link>();
  const dialled = new Map<string, Dialled>();
  let ranks = new Map<string, number>();
  let tree: GroupTree = [];
  // Asked for at each call along the tree, and changes seldom.
  let linkedByRank: ReadonlyMap<number, Link> | undefined;
  let ownRank = Infinity;
  /** Ranks whose loss this agent has to notice soon. */
  let watched: ReadonlySet<number> = new Set();

  const linked = (): ReadonlyMap<number, Link> => {
    linkedByRank ??= new Map(
      [...links]
        .flatMap(([node, link]): [number, Link][] => {
          const rank = ranks.get(node);
          return rank === undefined ? [] : [[rank, link]];
        })
        .sort(([a], [b]) => a - b),
    );
    return linkedByRank;
  };

  const lowestLinked = (): number => {
    const [lowest = Infinity] = linked().keys();
    return lowest;
  };
  const lead = createLead(() => lowestLinked() > ownRank);
  const noteLinked = (): void => {
    linkedByRank = undefined;
    lead.noteChange();
  };

  const handlers = {
    [TREE_CALL]: options.serveTree,
    [SHAPE_CALL]: async () => options.shape(),
    'rank.order-for': async (args: unknown) => {
      const asked = readOrderFor(args);
      return asked ? options.orderFor(asked.node, asked.order) : 'refused';
    },
  };

  const onLink = (link: Link): FrameHandler => {
    const { node } = link.peer;
    links.set(node, link);
    noteLinked();
    log.event('rank-linked', { peer: node, rank: ranks.get(node) });
    void link.closed.then((why) => {
      if (links.get(node) === link) links.delete(node);
      noteLinked();
      log.event('rank-lost', { peer: node, rank: ranks.get(node), why });
    });
    return (frame) => {
      if (frame.t !== 'note' || frame.method !== PICKS_NOTE) return;
      const picks = frame.args instanceof Uint8Array ? unpackNumbers(frame.args) : undefined;
      if (picks) options.onPicks(picks);
    };
  };

  const heartbeatMs = (node: string): number => {
    const peer = ranks.get(node);
    return heartbeatMsWith({
      own: ownRank,
      peer,
      lowestLinked: lowestLinked(),
      isWatched: peer !== undefined && watched.has(peer),
      groupSize: options.groupSize(),
    });
  };

  const linkOptions: LinkOptions = {
    identity: agentIdentity(self, options.region),
    intentOffset: () => -1,
    limits: LIMITS,
    heartbeatMsWith: heartbeatMs,
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

  /** Ends links that are no longer wanted, once all that are have come about. */
  const endOthers = (wanted: readonly NodeRecord[]): void => {
    const keys = new Set(wanted.map(({ host, port }) => `${host}:${port}`));
    const isComplete = [...keys].every((key) => dialled.get(key)?.client.link() !== undefined);
    [...dialled].forEach(([key, { client }]) => {
      if (keys.has(key) || (client.link() && !isComplete)) return;
      dialled.delete(key);
      void client.close();
    });
  };

  return {
    setNodes: (nodes, group, rank) => {
      ownRank = rank;
      const members = nodes.flatMap((record) =>
        record.group?.name === group ? [{ record, rank: record.group.rank }] : [],
      );
      ranks = new Map(members.map((entry) => [entry.record.node, entry.rank]));
      noteLinked();
      tree = buildTree(
        members.map((entry) => ({ rank: entry.rank, dataCentre: entry.record.dataCentre })),
      );
      const byRank = new Map(members.map((entry) => [entry.rank, entry.record]));
      const lower = members
        .filter((entry) => entry.rank < rank && entry.record.node !== self.node)
        .sort((a, b) => a.rank - b.rank)
        .map(({ record }) => record);
      const up = lower.filter((record) => !isDown(record));
      const lowest = up.slice(0, KEPT_LINKS);
      const isUp = (other: number): boolean => {
        const record = byRank.get(other);
        return record !== undefined && !isDown(record);
      };
      // Of two agents the one with the higher rank dials.
      const callers = relaysOf(tree, rank, isUp);
      const relays = callers
        .filter((other) => other < rank)
        .flatMap((other) => byRank.get(other) ?? []);
      // Those that are down are dialled on: one of them that comes back coordinates again.
      const down = lower.filter(isDown).slice(0, KEPT_LINKS);
      const called = [...linked().keys()].filter((other) =>
        relaysOf(tree, other, isUp).includes(rank),
      );
      const isNext = up.length <= KEPT_LINKS;
      const next = isNext ? [...byRank.keys()].filter((other) => other < rank) : [];
      watched = new Set([...callers, ...called, ...next]);
      [...lowest, ...relays, ...down].forEach(dial);
      endOthers([...lowest, ...relays, ...down]);
    },
    toRank: (rank) => linked().get(rank),
    askShape: async () => {
      const [lowest] = linked().values();
      const reply = await lowest?.call(SHAPE_CALL, {}, ASK_MS);
      return reply?.outcome === 'answered' ? readToldShape(reply.value) : undefined;
    },
    toHighest: () => [...linked().values()].at(-1),
    isLowest: lead.isLowest,
    untilLowest: lead.untilLowest,
    tree: () => tree,
    tellStandby: (picks) => {
      const [, next] = [...linked()].find(([rank]) => rank > ownRank) ?? [];
      next?.send({ t: 'note', method: PICKS_NOTE, args: packNumbers(picks) });
    },
    close: async () => {
      await Promise.all([...dialled.values()].map(({ client }) => client.close()));
      await server.close();
    },
  };
};
