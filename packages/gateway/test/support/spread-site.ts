/** A site on a simulated clock: entries that follow the intent, with a store, links and faults of both. */

import type { ManualClock, Random } from '@plantaindrum/common';
import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  silentEventLog,
} from '@plantaindrum/common';
import { createKeyedMirror, createRelayedReader } from '@plantaindrum/mirror';
import type {
  KeyedRecord,
  KeyedTopic,
  LogFailure,
  LogLatestOutcome,
  LogReadOutcome,
  PeerRecords,
} from '@plantaindrum/mirror';
import { createIntentReader } from '../../src/intent/intent-reader.js';
import { createFollowedTopics } from '../../src/mesh/followed-topics.js';
import type { FollowedTopics } from '../../src/mesh/followed-topics.js';
import type { Mesh } from '../../src/mesh/mesh.js';
import type { Intent } from '../../src/types.js';

const TOPIC = 'intent';
const KEY = 'config';
const STORE_MS = 4;
const LINK_MS = 1;
const ANSWER_TIMEOUT_MS = 1_500;
const FETCH_TIMEOUT_MS = 400;
const HEARTBEAT_MS = 500;
/** A link without a byte for this long is closed, in ms. */
const LINK_LOST_MS = 2_000;
const MAX_RELINK_MS = 1_500;
const READING = { waitMs: 600, pauseMs: 50, isRelayed: true };

/** How the store treats calls. */
export type StoreAccess = 'up' | 'refusing' | 'silent';

interface SimEntry {
  name: string;
  isRunning: boolean;
  /** Counts the starts; a message for an earlier process is lost. */
  boot: number;
  access: StoreAccess;
  /** When its connections to the store and its links last went silent. */
  silencedAt: number;
  isCutFromPeers: boolean;
  disturbedAt: number;
  version: number;
  followed: FollowedTopics | undefined;
}

interface SimLink {
  a: SimEntry;
  b: SimEntry;
  isLinked: boolean;
  /** When bytes last passed. */
  aliveAt: number;
  relinkAt: number;
}

const intentOf = (value: Uint8Array): Intent =>
  ({ version: Number(Buffer.from(value).toString()) }) as Intent;

/** Starts a site with this many entries. */
export const startSpreadSite = (count: number, seed: number) => {
  const clock: ManualClock = createManualClock();
  const random: Random = createSeededRandom(seed);
  const common = { clock, metrics: createMetrics(), log: silentEventLog };
  const records: KeyedRecord[] = [];
  const waiting = new Set<() => void>();
  const accepted: { version: number; at: number }[] = [];
  let generation = 1;
  let first = 0;
  let access: StoreAccess = 'up';
  let disturbedAt = -Infinity;
  let partlyDisturbedAt = -Infinity;

  const after = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(ms, resolve);
    });

  const createNode = (name: string): SimEntry => ({
    name,
    isRunning: false,
    boot: 0,
    access: 'up',
    silencedAt: -Infinity,
    isCutFromPeers: false,
    disturbedAt: 0,
    version: -1,
    followed: undefined,
  });
  const entries = Array.from({ length: count }, (_, n) => createNode(`edge-${n}`));
  /** An agent beside an upstream: no fault but one of the store concerns it. */
  const agent = createNode('agent');
  const links: SimLink[] = entries.flatMap((a, n) =>
    entries
      .slice(n + 1)
      .map((b) => ({ a, b, isLinked: false, aliveAt: 0, relinkAt: random() * 100 })),
  );

  /** Answers a call of an entry as the store would; the answer is lost if its connection goes silent meanwhile. */
  const callStore = async <Answer>(
    entry: SimEntry,
    waitMs: number,
    answer: () => Promise<Answer>,
  ): Promise<Answer | { outcome: 'failed'; why: LogFailure }> => {
    const sentAt = clock.monotonic();
    const { boot } = entry;
    const reach = (): StoreAccess => (access === 'up' ? entry.access : access);
    if (reach() === 'refusing') {
      await after(STORE_MS);
      return { outcome: 'failed', why: 'refused' };
    }
    const outcome = reach() === 'up' ? await Promise.all([answer(), after(STORE_MS)]) : undefined;
    const isLost = outcome === undefined || reach() === 'silent' || entry.silencedAt >= sentAt;
    if (!isLost || entry.boot !== boot) {
      return outcome?.[0] ?? { outcome: 'failed', why: 'no-answer' };
    }
    await after(Math.max(0, sentAt + waitMs + ANSWER_TIMEOUT_MS - clock.monotonic()));
    return { outcome: 'failed', why: 'no-answer' };
  };

  const awaitRecord = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const finish = (): void => {
        waiting.delete(finish);
        resolve();
      };
      waiting.add(finish);
      clock.after(waitMs, finish);
    });

  const topicOf = (entry: SimEntry): KeyedTopic => ({
    name: TOPIC,
    read: (from, waitMs) =>
      callStore(entry, waitMs, async (): Promise<LogReadOutcome> => {
        if (from >= records.length && waitMs > 0) await awaitRecord(waitMs);
        if (from < first || from > records.length) return { outcome: 'expired', generation };
        return {
          outcome: 'records',
          records: records.slice(from),
          end: records.length,
          generation,
        };
      }),
    readLatest: () =>
      callStore(entry, 0, async (): Promise<LogLatestOutcome> => {
        const items = records
          .slice(-1)
          .flatMap(({ key, value, offset }) => (value ? [{ key, value, offset }] : []));
        return { outcome: 'items', items, hasMore: false, end: records.length, generation };
      }),
  });

  const peersOf = (entry: SimEntry): { peer: SimEntry; link: SimLink }[] =>
    links
      .filter(({ a, b, isLinked }) => isLinked && (a === entry || b === entry))
      .map((link) => ({ peer: link.a === entry ? link.b : link.a, link }));

  const passes = ({ a, b, isLinked }: SimLink): boolean =>
    isLinked && a.isRunning && b.isRunning && !a.isCutFromPeers && !b.isCutFromPeers;

  /** Delivers a message over a link; it is lost if the link doesn't pass or the receiver has started again. */
  const deliver = (link: SimLink, to: SimEntry, receive: () => void): void => {
    const { boot } = to;
    if (!passes(link) || to.silencedAt > link.aliveAt) return;
    clock.after(LINK_MS, () => {
      if (to.isRunning && to.boot === boot) receive();
    });
  };

  const meshOf = (
    entry: SimEntry,
  ): Pick<Mesh, 'hasLowerPeer' | 'broadcastPush' | 'fetchFromPeer'> => ({
    hasLowerPeer: () => peersOf(entry).some(({ peer }) => peer.name < entry.name),
    broadcastPush: (topic, push) =>
      peersOf(entry).forEach(({ peer, link }) =>
        deliver(link, peer, () => peer.followed?.follower(topic)?.handlePush(push, entry.name)),
      ),
    fetchFromPeer: async (topic, position, named) => {
      const peers = peersOf(entry);
      const chosen =
        peers.find(({ peer }) => peer.name === named) ?? peers[Math.floor(random() * peers.length)];
      if (!chosen) return undefined;
      if (!passes(chosen.link)) {
        await after(FETCH_TIMEOUT_MS);
        return undefined;
      }
      await after(2 * LINK_MS);
      return chosen.peer.followed?.recordsAfter(topic, position);
    },
  });

  const readAsAgent = createRelayedReader(topicOf(agent), clock);

  const fetchRelayed = async (entry: SimEntry): Promise<PeerRecords | undefined> => {
    const { boot } = entry;
    await after(entry.isCutFromPeers ? FETCH_TIMEOUT_MS : LINK_MS);
    if (entry.isCutFromPeers) return undefined;
    const answer = await readAsAgent();
    return entry.boot === boot ? answer : undefined;
  };

  const start = (entry: SimEntry): void => {
    const { boot } = entry;
    const startedAt = clock.monotonic();
    Object.assign(entry, { boot: boot + 1, isRunning: true, disturbedAt: startedAt, version: -1 });
    const reader = createIntentReader(intentOf);
    const followed = createFollowedTopics({
      mesh: () => meshOf(entry) as Mesh,
      fetchRelayed: () => fetchRelayed(entry),
      ...common,
    });
    const applyIntent = (value: Uint8Array): void => {
      Object.assign(entry, { version: Math.max(entry.version, intentOf(value).version) });
    };
    Object.assign(entry, { followed });
    const mirror = createKeyedMirror(({ value }) => value && applyIntent(value), reader);
    followed.follow(topicOf(entry), mirror, READING);
  };

  const stop = (entry: SimEntry): void => {
    entry.followed?.close();
    Object.assign(entry, { boot: entry.boot + 1, isRunning: false, followed: undefined });
    links
      .filter(({ a, b }) => a === entry || b === entry)
      .forEach((link) => Object.assign(link, { isLinked: false, relinkAt: Infinity }));
  };

  const tellVersion = (from: SimEntry, to: SimEntry): void => {
    if (from.version > to.version) to.followed?.follower(TOPIC)?.fetchNow(from.name);
  };

  /** Heartbeats, closes links that are silent, and links entries again. */
  const tickLinks = (): void => {
    const now = clock.monotonic();
    links.forEach((link) => {
      const { a, b } = link;
      const canPass = a.isRunning && b.isRunning && !a.isCutFromPeers && !b.isCutFromPeers;
      if (!link.isLinked) {
        if (!canPass) Object.assign(link, { relinkAt: now + random() * MAX_RELINK_MS });
        else if (now >= link.relinkAt) Object.assign(link, { isLinked: true, aliveAt: now });
        else if (link.relinkAt === Infinity) {
          Object.assign(link, { relinkAt: now + random() * MAX_RELINK_MS });
        }
        return;
      }
      const isSilent = Math.max(a.silencedAt, b.silencedAt) > link.aliveAt;
      if (canPass && !isSilent) {
        Object.assign(link, { aliveAt: now });
        deliver(link, b, () => tellVersion(a, b));
        deliver(link, a, () => tellVersion(b, a));
      } else if (now - link.aliveAt > LINK_LOST_MS) {
        Object.assign(link, { isLinked: false, relinkAt: now + random() * 100 });
      }
    });
    clock.after(HEARTBEAT_MS, tickLinks);
  };

  const write = (version: number): void => {
    records.push({ key: KEY, value: Buffer.from(String(version)), offset: records.length });
    [...waiting].forEach((finish) => finish());
  };

  write(1);
  accepted.push({ version: 1, at: 0 });
  entries.forEach(start);
  clock.after(20, tickLinks);

  return {
    clock,
    random,
    entries,
    start,
    stop,
    /** Writes a version as the operators do; false if the store does not take it. */
    put: (version: number): boolean => {
      if (access !== 'up') return false;
      write(version);
      accepted.push({ version, at: clock.monotonic() });
      return true;
    },
    accepted,
    setStoreAccess: (next: StoreAccess): void => {
      access = next;
      disturbedAt = clock.monotonic();
    },
    setEntryAccess: (entry: SimEntry, next: StoreAccess): void => {
      Object.assign(entry, { access: next });
      partlyDisturbedAt = clock.monotonic();
    },
    /** Restores the store from a copy that lacks its last records; the operators then write the latest again. */
    restore: (lost: number): void => {
      records.splice(Math.max(1, records.length - lost));
      first = Math.min(first, records.length);
      generation += 1;
      disturbedAt = clock.monotonic();
      [...waiting].forEach((finish) => finish());
    },
    /** Deletes the records of the topic but the newest value. */
    forgetHistory: (): void => {
      first = records.length;
    },
    rewrite: (): void => {
      const latest = accepted.at(-1);
      if (latest) write(latest.version);
    },
    /** Milliseconds since the store last changed how it treats all entries, and any of them. */
    storeCalmMs: () => (access === 'up' ? clock.monotonic() - disturbedAt : 0),
    storeWholeMs: () =>
      entries.every((entry) => entry.access === 'up') ? clock.monotonic() - partlyDisturbedAt : 0,
  };
};
