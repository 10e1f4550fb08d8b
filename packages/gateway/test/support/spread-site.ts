/** A site on a simulated clock: entries that follow the intent, with a store, links and faults of both. */

import type { ManualClock, Random } from '@plantaindrum/common';
import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  silentEventLog,
} from '@plantaindrum/common';
import { createKeyedMirror, createRelayedReader } from '@plantaindrum/mirror';
import type { PeerRecords } from '@plantaindrum/mirror';
import { createIntentReader } from '../../src/intent/intent-reader.js';
import { createFollowedTopics } from '../../src/mesh/followed-topics.js';
import type { FollowedTopics } from '../../src/mesh/followed-topics.js';
import type { Mesh } from '../../src/mesh/mesh.js';
import type { Intent } from '../../src/types.js';
import { createSimStore, SIM_TOPIC } from './spread-store.js';
import type { StoreAccess, StoreCaller } from './spread-store.js';

const LINK_MS = 1;
const FETCH_TIMEOUT_MS = 400;
const HEARTBEAT_MS = 500;
/** A link without a byte for this long is closed, in ms. */
const LINK_LOST_MS = 2_000;
const MAX_RELINK_MS = 1_500;
const READING = { waitMs: 600, pauseMs: 50, isRelayed: true };

interface SimEntry extends StoreCaller {
  name: string;
  isRunning: boolean;
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
  const store = createSimStore(clock);
  const accepted: { version: number; at: number }[] = [];
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

  const readAsAgent = createRelayedReader(store.topicOf(agent), clock);

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
    followed.follow(store.topicOf(entry), mirror, READING);
  };

  const stop = (entry: SimEntry): void => {
    entry.followed?.close();
    Object.assign(entry, { boot: entry.boot + 1, isRunning: false, followed: undefined });
    links
      .filter(({ a, b }) => a === entry || b === entry)
      .forEach((link) => Object.assign(link, { isLinked: false, relinkAt: Infinity }));
  };

  const tellVersion = (from: SimEntry, to: SimEntry): void => {
    if (from.version > to.version) to.followed?.follower(SIM_TOPIC)?.fetchNow(from.name);
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

  store.write(1);
  accepted.push({ version: 1, at: 0 });
  entries.forEach(start);
  clock.after(20, tickLinks);

  return {
    clock,
    random,
    entries,
    start,
    stop,
    store,
    /** Writes a version as the operators do, unless the store doesn't take it. */
    put: (version: number): void => {
      if (store.access() !== 'up') return;
      store.write(version);
      accepted.push({ version, at: clock.monotonic() });
    },
    accepted,
    setEntryAccess: (entry: SimEntry, next: StoreAccess): void => {
      Object.assign(entry, { access: next });
      partlyDisturbedAt = clock.monotonic();
    },
    /** Writes the latest version again, as the operators do after a restore. */
    rewrite: (): void => {
      const latest = accepted.at(-1);
      if (latest) store.write(latest.version);
    },
    /** Milliseconds since the store last turned an entry away or took it back. */
    storeWholeMs: () =>
      entries.every((entry) => entry.access === 'up') ? clock.monotonic() - partlyDisturbedAt : 0,
  };
};
