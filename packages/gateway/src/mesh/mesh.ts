/** Links between the entries: shares of load, and what one of them misses of the platform's log. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { isNumber, isObject, silentLogger } from '@plantaindrum/common';
import { createLinkClient, createLinkServer, defaultLinkLimits } from '@plantaindrum/link';
import type { FrameHandler, Link, LinkClient, LinkOptions, LinkServer } from '@plantaindrum/link';
import { readPush, readRecordList } from '@plantaindrum/mirror';
import type { AskPeers, NodeRecord, PeerPush, PeerRecords, TopicPlace } from '@plantaindrum/mirror';
import type { ListenAddress } from '../door.js';
import type { News } from '../quarantine/news.js';
import { readEnginePace } from './engine-pace.js';
import type { EnginePace } from './engine-pace.js';
import { createLinkedShare } from './linked-share.js';
import { readShare } from './load-share.js';
import type { LoadShare } from './load-share.js';
import { readRateNews } from './rate-news.js';
import type { RateNews } from './rate-news.js';

/** The entries that this one is linked with. */
export interface Mesh {
  /** Takes the published nodes; dials entries that are new. */
  setNodes(nodes: readonly NodeRecord[]): void;
  /** Whether a linked entry comes before this one; the first reads the log for all. */
  hasEarlierPeer(): boolean;
  shareLoad(share: LoadShare): void;
  /** Entries that may be at work, this one counted, and the part of them that is linked with it. */
  entries(): number;
  linkedShare(): number;
  /** Tells all linked entries of upstreams' rate limits, and of requests sent to those. */
  tellRates(news: RateNews): void;
  /** Tells all linked entries of requests that crash upstreams. */
  tellCrashes(news: News): void;
  /** Passes on what the log has just answered. */
  passOn(topic: string, push: PeerPush): void;
  /** Asks a linked entry for records of a topic beyond a place. */
  askPeers: AskPeers;
  close(): Promise<void>;
}

/** Options of `createMesh`. */
export interface MeshOptions {
  self: NodeRecord;
  region: string;
  listen: ListenAddress;
  /** Addresses of entries that are known without the log; they may be stale. */
  seeds: readonly ListenAddress[];
  /** Version of the intent that is in force here, -1 before the first; rides on heartbeats. */
  intentVersion: () => number;
  /** A peer holds a newer intent. */
  onPeerAhead: () => void;
  onShare: (peer: string, share: LoadShare) => void;
  /** The whole of this entry's load, for a peer that is newly linked. */
  wholeShare: () => LoadShare;
  onRateNews: (peer: string, news: RateNews) => void;
  /** All rate limits of upstreams, for a peer that is newly linked. */
  wholeRateNews: () => RateNews;
  /** A peer's note on requests that crash upstreams, not yet checked. */
  onCrashNews: (peer: string, value: unknown) => void;
  /** All that is known of them, for a peer that is newly linked. */
  wholeCrashNews: () => News;
  onPush: (topic: string, push: PeerPush) => void;
  onPeerGone: (peer: string) => void;
  /** An agent tells the pace of the engine beside it. */
  onPace: (pace: EnginePace) => void;
  /** What this entry's mirror of a topic holds beyond a place. */
  recordsAfter: (topic: string, after: TopicPlace) => PeerRecords | undefined;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Time for a peer's answer, in ms: links take a millisecond, a peer's pause up to a hundred. */
const ASK_MS = 400;
/** Time for a connection and its hello, in ms. */
const HELLO_MS = 1_000;
const CRASH_NOTE = 'request.crashes';
const RATE_NOTE = 'upstream.rates';
const BACKOFF = { firstMs: 100, maxMs: 1_500 };

const readRecords = (value: unknown): PeerRecords | undefined => {
  if (!isObject(value)) return undefined;
  const { end, generation, ageMs } = value;
  const records = readRecordList(value.records);
  if (!records || !isNumber(end) || !isNumber(generation) || !isNumber(ageMs)) return undefined;
  return { records, end, generation, ageMs };
};

const readTopicPush = (value: unknown): { topic: string; push: PeerPush } | undefined => {
  if (!isObject(value) || typeof value.topic !== 'string') return undefined;
  const push = readPush(value);
  return push && { topic: value.topic, push };
};

const addressKey = ({ host, port }: ListenAddress): string => `${host}:${port}`;

/** Starts the links of an entry; rejects when its link address is in use. */
export const createMesh = async (options: MeshOptions): Promise<Mesh> => {
  const { self, listen, clock, random, metrics, log } = options;
  const links = new Set<Link>();
  const linkedEntries = createLinkedShare(clock);
  const clients = new Map<string, LinkClient>();

  const answerRecords = async (args: unknown): Promise<unknown> => {
    if (!isObject(args) || typeof args.topic !== 'string') return undefined;
    const { topic, generation, offset } = args;
    if (!isNumber(generation) || !isNumber(offset)) return undefined;
    return options.recordsAfter(topic, { generation, offset });
  };

  const takeRateNews = (peer: string, value: unknown): void => {
    const news = readRateNews(value);
    if (news) {
      options.onRateNews(peer, news);
      return;
    }
    metrics.count('gateway_rate_news_unreadable');
    log.event('rate-news-unreadable', { peer });
  };

  const onFrame =
    (peer: string): FrameHandler =>
    (frame) => {
      if (frame.t !== 'note') return;
      const share = frame.method === 'load.share' ? readShare(frame.args) : undefined;
      if (share) options.onShare(peer, share);
      const pushed = frame.method === 'mirror.push' ? readTopicPush(frame.args) : undefined;
      if (pushed) options.onPush(pushed.topic, pushed.push);
      const pace = frame.method === 'engine.pace' ? readEnginePace(frame.args) : undefined;
      if (pace) options.onPace(pace);
      if (frame.method === RATE_NOTE) takeRateNews(peer, frame.args);
      if (frame.method === CRASH_NOTE) options.onCrashNews(peer, frame.args);
    };

  const onLink = (link: Link): FrameHandler => {
    const { node } = link.peer;
    links.add(link);
    log.event('peer-linked', { peer: node, role: link.peer.role });
    const isEntry = link.peer.role === 'entry';
    if (isEntry) {
      linkedEntries.noteLinked(node);
      link.send({ t: 'note', method: 'load.share', args: options.wholeShare() });
      link.send({ t: 'note', method: CRASH_NOTE, args: options.wholeCrashNews() });
      link.send({ t: 'note', method: RATE_NOTE, args: options.wholeRateNews() });
    }
    void link.closed.then((why) => {
      links.delete(link);
      log.event('peer-lost', { peer: node, why });
      if ([...links].some(({ peer }) => peer.node === node)) return;
      if (isEntry) linkedEntries.noteLost(node);
      options.onPeerGone(node);
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
    limits: { ...defaultLinkLimits, helloTimeoutMs: HELLO_MS },
    handlers: { 'mirror.records': answerRecords },
    onLink,
    onPeerOffset: options.onPeerAhead,
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

  /** One link to each peer: two nodes that dialled each other have two. */
  const byPeer = (): Link[] => {
    const entries = [...links].filter(({ peer }) => peer.role === 'entry');
    return [...new Map(entries.map((link) => [link.peer.node, link])).values()];
  };

  const forget = (keep: ReadonlySet<string>): void => {
    [...clients].forEach(([key, client]) => {
      if (keep.has(key) || client.link()) return;
      clients.delete(key);
      void client.close();
    });
  };

  return {
    setNodes: (nodes) => {
      const entries = nodes.filter(({ role }) => role === 'entry');
      // Of two entries the one with the smaller address dials, so that each pair has one link.
      entries.filter((entry) => addressKey(self) < addressKey(entry)).forEach(dial);
      forget(new Set([...entries, ...options.seeds].map(addressKey)));
    },
    hasEarlierPeer: () => byPeer().some(({ peer }) => peer.node < self.node),
    shareLoad: (share) => {
      byPeer().forEach((link) => link.send({ t: 'note', method: 'load.share', args: share }));
    },
    entries: linkedEntries.entries,
    linkedShare: linkedEntries.share,
    tellRates: (news) => {
      byPeer().forEach((link) => link.send({ t: 'note', method: RATE_NOTE, args: news }));
    },
    tellCrashes: (news) => {
      byPeer().forEach((link) => link.send({ t: 'note', method: CRASH_NOTE, args: news }));
    },
    passOn: (topic, push) => {
      const args = { topic, ...push };
      byPeer().forEach((link) => link.send({ t: 'note', method: 'mirror.push', args }));
    },
    askPeers: async (topic, after) => {
      const peers = byPeer();
      const start = Math.floor(random() * peers.length);
      const link = peers[start];
      if (!link) return undefined;
      const reply = await link.call('mirror.records', { topic, ...after }, ASK_MS);
      return reply.outcome === 'answered' ? readRecords(reply.value) : undefined;
    },
    close: async () => {
      isClosed = true;
      await Promise.all([...clients.values()].map((client) => client.close()));
      await server.close();
    },
  };
};
