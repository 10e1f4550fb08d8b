/** Links between the entries: broadcasts of load, rate limits and crash reports, and records of the platform's log. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { isNumber, isObject, silentLogger } from '@plantaindrum/common';
import { createLinkClient, createLinkServer, defaultLinkLimits } from '@plantaindrum/link';
import type { FrameHandler, Link, LinkClient, LinkOptions, LinkServer } from '@plantaindrum/link';
import { parsePeerRecords, parsePush } from '@plantaindrum/mirror';
import type {
  FetchFromPeers,
  NodeRecord,
  EncodedPush,
  PeerRecords,
  TopicPosition,
} from '@plantaindrum/mirror';
import type { ListenAddress } from '../caller-server.js';
import { readGroupReport, readGroupUpdate } from '../groups/group-report.js';
import type { GroupReport, GroupUpdate } from '../groups/group-report.js';
import type { QuarantineUpdate } from '../quarantine/quarantine-update.js';
import { readEngineSlowdown } from './engine-slowdown.js';
import type { EntrySharing } from '../upstreams/warmup-limit.js';
import type { EngineSlowdown } from './engine-slowdown.js';
import { createConnectedEntries } from './connected-entries.js';
import { readLoadUpdate } from './load-broadcast.js';
import type { LoadUpdate } from './load-broadcast.js';
import { createLoadDecoder, createLoadEncoder } from './load-encoding.js';
import type { DecodeLoad } from './load-encoding.js';
import { readRateLimitUpdate } from './rate-limit-update.js';
import type { RateLimitUpdate } from './rate-limit-update.js';

/** The links of one entry to the others. */
export interface Mesh {
  /** Applies the published node records: connects to new entries, and stops trying to connect to removed ones. */
  setNodes(nodes: readonly NodeRecord[]): void;
  /** Number of linked entries with a lower node name. */
  lowerPeers(): number;
  /** Whether a linked entry has a lower node name; the entry with the lowest one reads the log for all. */
  hasLowerPeer(): boolean;
  /** Broadcasts this entry's requests in flight. */
  broadcastLoad(update: LoadUpdate): void;
  /** Number of entries that may be running, including this one. */
  entries(): number;
  /** Fraction of these that is linked, including this one. */
  connectedFraction(): number;
  /** The entries that share limits; undefined until the node registry has been read. */
  sharing(): EntrySharing | undefined;
  /** Broadcasts upstreams' rate limits, and requests sent to upstreams that have one. */
  broadcastRateLimits(update: RateLimitUpdate): void;
  /** Broadcasts reports on requests that crash upstreams. */
  broadcastQuarantine(update: QuarantineUpdate): void;
  /** Broadcasts changes of the states of rank groups. */
  broadcastGroups(update: GroupUpdate): void;
  /** Broadcasts records that the log has just returned. */
  broadcastPush(topic: string, push: EncodedPush): void;
  /** Fetches records of a topic after a position from a linked entry: the named one, or one chosen at random. */
  fetchFromPeer: FetchFromPeers;
  close(): Promise<void>;
}

/** Options of `createMesh`. */
export interface MeshOptions {
  self: NodeRecord;
  region: string;
  listen: ListenAddress;
  /** Addresses of entries that are known without the log; they may be stale. */
  seeds: readonly ListenAddress[];
  /** Version of the intent that is in force here, -1 before the first; sent with heartbeats. */
  intentVersion: () => number;
  /** Called when a peer holds a newer intent. */
  onPeerAhead: (peer: string) => void;
  onLoadUpdate: (peer: string, update: LoadUpdate) => void;
  /** Returns this entry's full load, for a peer that is newly linked. */
  fullLoadUpdate: () => LoadUpdate;
  onRateLimitUpdate: (peer: string, update: RateLimitUpdate) => void;
  /** Returns all known rate limits of upstreams, for a peer that is newly linked. */
  fullRateLimitUpdate: () => RateLimitUpdate;
  /** Called with a peer's update on requests that crash upstreams, not yet validated. */
  onQuarantineUpdate: (peer: string, value: unknown) => void;
  /** Returns all that is known of such requests, for a peer that is newly linked. */
  fullQuarantineUpdate: () => QuarantineUpdate;
  /** Called with an agent's report on the state of its rank group. */
  onGroupReport: (report: GroupReport) => void;
  onGroupUpdate: (update: GroupUpdate) => void;
  /** Returns the known states of rank groups, for a peer that is newly linked. */
  fullGroupUpdate: () => GroupUpdate;
  onPush: (peer: string, topic: string, push: EncodedPush) => void;
  /** Called when the last link to a peer is closed. */
  onPeerLost: (peer: string) => void;
  /** Called when an agent reports the slowdown of the engine beside it. */
  onEngineSlowdown: (slowdown: EngineSlowdown) => void;
  /** Returns the records that this entry's mirror of a topic holds after a position. */
  recordsAfter: (topic: string, after: TopicPosition) => PeerRecords | undefined;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Timeout of a fetch from a peer, in ms: links take about 1 ms, and a peer may stall for up to 100 ms. */
const FETCH_TIMEOUT_MS = 400;
/** Timeout of connecting and exchanging hellos, in ms. */
const HELLO_TIMEOUT_MS = 1_000;
const QUARANTINE_NOTE = 'request.crashes';
const RATE_LIMIT_NOTE = 'upstream.rates';
const GROUP_REPORT_NOTE = 'group.state';
const GROUP_NOTE = 'group.states';
const BACKOFF = { firstMs: 100, maxMs: 1_500 };

const readTopicPush = (value: unknown): { topic: string; push: EncodedPush } | undefined => {
  if (!isObject(value) || typeof value.topic !== 'string') return undefined;
  const push = parsePush(value);
  return push && { topic: value.topic, push };
};

const addressKey = ({ host, port }: ListenAddress): string => `${host}:${port}`;

/** Starts the links of an entry; rejects when its link address is in use. */
export const createMesh = async (options: MeshOptions): Promise<Mesh> => {
  const { self, listen, clock, random, metrics, log } = options;
  const links = new Set<Link>();
  const connectedEntries = createConnectedEntries(clock);
  const clients = new Map<string, LinkClient>();
  let hasNodes = false;
  const loadEncoder = createLoadEncoder();
  const loadDecoders = new Map<string, DecodeLoad>();

  const decodeLoad = (peer: string, value: unknown): unknown => {
    const decode = loadDecoders.get(peer) ?? createLoadDecoder();
    loadDecoders.set(peer, decode);
    return decode(value);
  };

  const handleRecordsCall = async (args: unknown): Promise<unknown> => {
    if (!isObject(args) || typeof args.topic !== 'string') return undefined;
    const { topic, generation, offset } = args;
    if (!isNumber(generation) || !isNumber(offset)) return undefined;
    return options.recordsAfter(topic, { generation, offset });
  };

  const handleRateLimitUpdate = (peer: string, value: unknown): void => {
    const update = readRateLimitUpdate(value);
    if (update) {
      options.onRateLimitUpdate(peer, update);
      return;
    }
    metrics.count('gateway_rate_news_unreadable');
    log.event('rate-news-unreadable', { peer });
  };

  const handleGroupNote = (peer: string, method: string, value: unknown): void => {
    const report = method === GROUP_REPORT_NOTE ? readGroupReport(value) : undefined;
    const update = method === GROUP_NOTE ? readGroupUpdate(value) : undefined;
    if (report) options.onGroupReport(report);
    if (update) options.onGroupUpdate(update);
    if (report ?? update) return;
    metrics.count('gateway_group_notes_unreadable');
    log.event('group-note-unreadable', { peer, method });
  };

  const onFrame =
    (peer: string): FrameHandler =>
    (frame) => {
      if (frame.t !== 'note') return;
      const load =
        frame.method === 'load.share' ? readLoadUpdate(decodeLoad(peer, frame.args)) : undefined;
      if (load) options.onLoadUpdate(peer, load);
      const pushed = frame.method === 'mirror.push' ? readTopicPush(frame.args) : undefined;
      if (pushed) options.onPush(peer, pushed.topic, pushed.push);
      const slowdown = frame.method === 'engine.pace' ? readEngineSlowdown(frame.args) : undefined;
      if (slowdown) options.onEngineSlowdown(slowdown);
      if (frame.method === RATE_LIMIT_NOTE) handleRateLimitUpdate(peer, frame.args);
      if (frame.method === GROUP_REPORT_NOTE || frame.method === GROUP_NOTE) {
        handleGroupNote(peer, frame.method, frame.args);
      }
      if (frame.method === QUARANTINE_NOTE) options.onQuarantineUpdate(peer, frame.args);
    };

  const onLink = (link: Link): FrameHandler => {
    const { node } = link.peer;
    links.add(link);
    log.event('peer-linked', { peer: node, role: link.peer.role });
    const isEntry = link.peer.role === 'entry';
    if (isEntry) {
      connectedEntries.recordLinked(node);
      link.send({
        t: 'note',
        method: 'load.share',
        args: loadEncoder.encodeForNewPeer(options.fullLoadUpdate()),
      });
      link.send({ t: 'note', method: QUARANTINE_NOTE, args: options.fullQuarantineUpdate() });
      link.send({ t: 'note', method: RATE_LIMIT_NOTE, args: options.fullRateLimitUpdate() });
      link.send({ t: 'note', method: GROUP_NOTE, args: options.fullGroupUpdate() });
    }
    void link.closed.then((why) => {
      links.delete(link);
      log.event('peer-lost', { peer: node, why });
      if ([...links].some(({ peer }) => peer.node === node)) return;
      if (isEntry) connectedEntries.recordLost(node);
      loadDecoders.delete(node);
      options.onPeerLost(node);
    });
    return onFrame(node);
  };

  const linkOptions: LinkOptions = {
    identity: {
      role: 'entry',
      node: self.node,
      instance: self.instance,
      dataCentre: self.dataCentre,
      region: options.region,
    },
    intentOffset: options.intentVersion,
    limits: { ...defaultLinkLimits, helloTimeoutMs: HELLO_TIMEOUT_MS },
    handlers: { 'mirror.records': handleRecordsCall },
    onLink,
    onPeerOffset: ({ peer }) => options.onPeerAhead(peer.node),
    clock,
    metrics,
    log: silentLogger,
  };

  const server: LinkServer = await createLinkServer({ ...linkOptions, listen });

  let isClosed = false;
  const dial = (address: ListenAddress): void => {
    const key = addressKey(address);
    if (isClosed || key === addressKey(self) || clients.has(key)) return;
    clients.set(
      key,
      createLinkClient({ ...linkOptions, connect: address, backoff: BACKOFF, random }),
    );
  };

  options.seeds.forEach(dial);

  /** Returns one link to each linked entry; two nodes that connected to each other have two links. */
  const entryLinks = (): Link[] => {
    const entries = [...links].filter(({ peer }) => peer.role === 'entry');
    return [...new Map(entries.map((link) => [link.peer.node, link])).values()];
  };

  const lowerPeers = (): number => entryLinks().filter(({ peer }) => peer.node < self.node).length;

  /** Sends one frame to all linked entries; it is encoded once. */
  const broadcast = (method: string, args: unknown): void => {
    const note = { t: 'note', method, args } as const;
    entryLinks().forEach((link) => link.send(note));
  };

  const closeUnlinkedClients = (keep: ReadonlySet<string>): void => {
    [...clients].forEach(([key, client]) => {
      if (keep.has(key) || client.link()) return;
      clients.delete(key);
      void client.close();
    });
  };

  return {
    setNodes: (nodes) => {
      hasNodes = true;
      const entries = nodes.filter(({ role }) => role === 'entry');
      entries
        .filter(({ node }) => node !== self.node)
        .forEach(({ node }) => connectedEntries.recordRegistered(node));
      // The entry with the lower address connects to the other one, so that each pair has a single link.
      entries.filter((entry) => addressKey(self) < addressKey(entry)).forEach(dial);
      closeUnlinkedClients(new Set([...entries, ...options.seeds].map(addressKey)));
    },
    lowerPeers,
    hasLowerPeer: () => lowerPeers() > 0,
    broadcastLoad: (update) => broadcast('load.share', loadEncoder.encode(update)),
    entries: connectedEntries.entries,
    connectedFraction: connectedEntries.connectedFraction,
    sharing: () => (hasNodes ? connectedEntries.sharing(self.node) : undefined),
    broadcastRateLimits: (update) => broadcast(RATE_LIMIT_NOTE, update),
    broadcastQuarantine: (update) => broadcast(QUARANTINE_NOTE, update),
    broadcastGroups: (update) => broadcast(GROUP_NOTE, update),
    broadcastPush: (topic, push) => broadcast('mirror.push', { topic, ...push }),
    fetchFromPeer: async (topic, after, named) => {
      const peers = entryLinks();
      const link =
        peers.find(({ peer }) => peer.node === named) ?? peers[Math.floor(random() * peers.length)];
      if (!link) return undefined;
      const reply = await link.call('mirror.records', { topic, ...after }, FETCH_TIMEOUT_MS);
      return reply.outcome === 'answered' ? parsePeerRecords(reply.value) : undefined;
    },
    close: async () => {
      isClosed = true;
      await Promise.all([...clients.values()].map((client) => client.close()));
      await server.close();
    },
  };
};
