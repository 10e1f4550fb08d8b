/**
 * Links between the agents of a group. Each agent keeps links to the lowest ranks, one of which
 * coordinates.
 */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { silentLogger } from '@plantaindrum/common';
import { createLinkClient, createLinkServer, defaultLinkLimits } from '@plantaindrum/link';
import type { CallHandler, FrameHandler, Link, LinkClient, LinkOptions } from '@plantaindrum/link';
import { RELAYED_READ_CALL } from '@plantaindrum/mirror';
import type { NodeRecord } from '@plantaindrum/mirror';
import { buildTree, relaysOf } from '../tree/group-tree.js';
import type { GroupTree } from '../tree/group-tree.js';
import { packCounts, unpackCounts } from '../tree/packing.js';
import { TREE_CALL } from '../tree/tree-calls.js';
import type { GroupShape, OrderOutcome, RankOrder } from '../types.js';
import { readShape } from './group-shape.js';
import { agentIdentity } from './identity.js';
import { HEARTBEAT_INTERVAL_MS, heartbeatIntervalMs } from './heartbeat-interval.js';
import { createCoordinatorRole } from './coordinator-role.js';
import { readOrderFor } from './message-readers.js';
import { createStandbyCounts } from './standby-counts.js';
import { isReporter } from './reporters.js';

/** Links of one agent. */
export interface RankLinks {
  /** Updates the links for the published nodes and this agent's own rank. */
  setNodes(nodes: readonly NodeRecord[], group: string, rank: number): void;
  /** Returns the link to the agent of a rank. */
  linkToRank(rank: number): Link | undefined;
  /**
   * Requests the group's shape from the agent of the lowest linked rank; undefined when it is not
   * known there.
   */
  requestShape(): Promise<GroupShape | undefined>;
  /**
   * Returns the link to the agent of the highest linked rank, the least likely to coordinate next.
   */
  linkToHighest(): Link | undefined;
  /** Whether no agent of a lower rank is linked. */
  isLowest(): boolean;
  /** Whether this agent reports the group's state to the entries. */
  isReporter(): boolean;
  /** Resolves once no agent of a lower rank is linked. */
  whenLowest(): Promise<void>;
  /** The tree along which calls to the group's ranks are relayed. */
  tree(): GroupTree;
  /**
   * Sends selection counts to the agent that coordinates next, so that it need not start without
   * any; several polls' counts are sent as one.
   */
  sendToStandby(selectionCounts: readonly number[]): void;
  close(): Promise<void>;
}

/** Options of `createRankLinks`. */
export interface RankLinksOptions {
  self: NodeRecord;
  region: string;
  /** Handles a call that arrives along the tree. */
  handleTreeCall: (args: unknown) => Promise<unknown>;
  /** Number of ranks of the group, as far as it is known. */
  groupSize: () => number;
  /** Sends an order to the engine beside another agent, on behalf of that agent. */
  orderForPeer: (node: string, order: RankOrder) => Promise<OrderOutcome>;
  /** Handles requests of entries to read a topic of the log for them. */
  handleRelayedRead: CallHandler;
  /** The group's shape; undefined while it is not known here. */
  shape: () => GroupShape | undefined;
  /** Handles selection counts that the coordinator sends to its successor. */
  onSelectionCounts: (selectionCounts: readonly number[]) => void;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/**
 * Number of lowest ranks to which each agent keeps a link. Three may be lost at once before the
 * others have to connect to further ranks. Links to all agents would cost a heartbeat for each
 * pair.
 */
const LINKED_LOWEST_RANKS = 3;
/** A link that has been down for this long is replaced by one to the next rank, in ms. */
const REPLACE_AFTER_MS = 1_000;
const LIMITS = {
  ...defaultLinkLimits,
  heartbeatMs: HEARTBEAT_INTERVAL_MS,
  heartbeatsMissed: 3,
  helloTimeoutMs: 800,
  connections: 1_024,
};
const BACKOFF = { firstMs: 50, maxMs: 1_000 };

const SELECTION_COUNTS_NOTE = 'rank.counts';
const SHAPE_CALL = 'rank.shape';
/** Timeout of a request for the shape, in ms. */
const SHAPE_TIMEOUT_MS = 400;

interface DialledLink {
  client: LinkClient;
  node: string;
  downSince: number | undefined;
}

/** Opens the agent's link address; rejects when it is in use. */
export const createRankLinks = async (options: RankLinksOptions): Promise<RankLinks> => {
  const { self, clock, random, metrics, log } = options;
  const links = new Map<string, Link>();
  const dialled = new Map<string, DialledLink>();
  let rankByNode = new Map<string, number>();
  let tree: GroupTree = [];
  // Cached because it is read at each call along the tree and changes rarely.
  let cachedLinksByRank: ReadonlyMap<number, Link> | undefined;
  let ownRank = Infinity;
  let reports = false;
  /** Ranks whose loss this agent has to detect soon. */
  let criticalRanks: ReadonlySet<number> = new Set();

  const linksByRank = (): ReadonlyMap<number, Link> => {
    cachedLinksByRank ??= new Map(
      [...links]
        .flatMap(([node, link]): [number, Link][] => {
          const rank = rankByNode.get(node);
          return rank === undefined ? [] : [[rank, link]];
        })
        .sort(([a], [b]) => a - b),
    );
    return cachedLinksByRank;
  };

  const lowestLinked = (): number => {
    const [lowest = Infinity] = linksByRank().keys();
    return lowest;
  };
  const coordinatorRole = createCoordinatorRole(() => lowestLinked() > ownRank);
  const handleLinkChange = (): void => {
    cachedLinksByRank = undefined;
    coordinatorRole.handleChange();
  };

  const handlers = {
    [TREE_CALL]: options.handleTreeCall,
    [SHAPE_CALL]: async () => options.shape(),
    [RELAYED_READ_CALL]: options.handleRelayedRead,
    'rank.order-for': async (args: unknown) => {
      const request = readOrderFor(args);
      return request ? options.orderForPeer(request.node, request.order) : 'refused';
    },
  };

  const onLink = (link: Link): FrameHandler => {
    const { node } = link.peer;
    links.set(node, link);
    handleLinkChange();
    log.event('rank-linked', { peer: node, rank: rankByNode.get(node) });
    void link.closed.then((reason) => {
      if (links.get(node) === link) links.delete(node);
      handleLinkChange();
      log.event('rank-lost', { peer: node, rank: rankByNode.get(node), why: reason });
    });
    return (frame) => {
      if (frame.t !== 'note' || frame.method !== SELECTION_COUNTS_NOTE) return;
      const selectionCounts =
        frame.args instanceof Uint8Array ? unpackCounts(frame.args) : undefined;
      if (selectionCounts) options.onSelectionCounts(selectionCounts);
    };
  };

  const peerHeartbeatMs = (node: string): number => {
    const peer = rankByNode.get(node);
    return heartbeatIntervalMs({
      own: ownRank,
      peer,
      lowestLinked: lowestLinked(),
      needsFastDetection: peer !== undefined && criticalRanks.has(peer),
      groupSize: options.groupSize(),
    });
  };

  const linkOptions: LinkOptions = {
    identity: agentIdentity(self, options.region),
    intentOffset: () => -1,
    limits: LIMITS,
    heartbeatMsFor: peerHeartbeatMs,
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
    const entry: DialledLink = {
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
    return entry.downSince !== undefined && clock.monotonic() - entry.downSince > REPLACE_AFTER_MS;
  };

  /** Closes links that are no longer wanted, once all wanted ones are established. */
  const closeOthers = (wanted: readonly NodeRecord[]): void => {
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
      rankByNode = new Map(members.map((entry) => [entry.record.node, entry.rank]));
      handleLinkChange();
      tree = buildTree(
        members.map((entry) => ({ rank: entry.rank, dataCentre: entry.record.dataCentre })),
      );
      const byRank = new Map(members.map((entry) => [entry.rank, entry.record]));
      const lower = members
        .filter((entry) => entry.rank < rank && entry.record.node !== self.node)
        .sort((a, b) => a.rank - b.rank)
        .map(({ record }) => record);
      const up = lower.filter((record) => !isDown(record));
      const lowest = up.slice(0, LINKED_LOWEST_RANKS);
      reports = isReporter(self.dataCentre, up);
      const isUp = (other: number): boolean => {
        const record = byRank.get(other);
        return record !== undefined && !isDown(record);
      };
      // Of two agents, the one with the higher rank connects.
      const possibleRelays = relaysOf(tree, rank, isUp);
      const relays = possibleRelays
        .filter((other) => other < rank)
        .flatMap((other) => byRank.get(other) ?? []);
      // Ranks that are down are dialled further on: one that returns coordinates again.
      const down = lower.filter(isDown).slice(0, LINKED_LOWEST_RANKS);
      const relayedRanks = [...linksByRank().keys()].filter((other) =>
        relaysOf(tree, other, isUp).includes(rank),
      );
      const mayCoordinateNext = up.length <= LINKED_LOWEST_RANKS;
      const lowerRanks = mayCoordinateNext
        ? [...byRank.keys()].filter((other) => other < rank)
        : [];
      criticalRanks = new Set([...possibleRelays, ...relayedRanks, ...lowerRanks]);
      [...lowest, ...relays, ...down].forEach(dial);
      closeOthers([...lowest, ...relays, ...down]);
    },
    linkToRank: (rank) => linksByRank().get(rank),
    requestShape: async () => {
      const [lowest] = linksByRank().values();
      const reply = await lowest?.call(SHAPE_CALL, {}, SHAPE_TIMEOUT_MS);
      return reply?.outcome === 'answered' ? readShape(reply.value) : undefined;
    },
    linkToHighest: () => [...linksByRank().values()].at(-1),
    isLowest: coordinatorRole.isLowest,
    isReporter: () => reports,
    whenLowest: coordinatorRole.whenLowest,
    tree: () => tree,
    sendToStandby: createStandbyCounts({
      send: (selectionCounts) => {
        const [, next] = [...linksByRank()].find(([rank]) => rank > ownRank) ?? [];
        next?.send({ t: 'note', method: SELECTION_COUNTS_NOTE, args: packCounts(selectionCounts) });
      },
      clock,
    }),
    close: async () => {
      await Promise.all([...dialled.values()].map(({ client }) => client.close()));
      await server.close();
    },
  };
};
