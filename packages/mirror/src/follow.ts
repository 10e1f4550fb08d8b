/** Keeps a mirror up to date from the platform's log, and from peers while the log is unavailable. */

import type { Pause } from '@plantaindrum/common';
import { createPause, sleep } from '@plantaindrum/common';
import type { Follower, FollowOptions, RestoreSource } from './follower.js';
import { toItems } from './keyed-mirror.js';
import { createRestoreRecovery } from './restore-recovery.js';
import { createPushEncoder, decodePush } from './push-deltas.js';
import type { EncodedPush } from './push-deltas.js';
import { createUnconfirmedExpiry } from './unconfirmed-expiry.js';
import { readSnapshot } from './topic-snapshot.js';
import type { TopicSnapshot } from './topic-snapshot.js';
import { TOPIC_START } from './topic.js';
import type { LogFailure, PeerPush, PeerRecords } from './topic.js';

/** Delay after a failed read, in ms, doubled each time. Short, as a change must reach all nodes within two seconds. */
const RETRY_DELAY_MS = 200;
/** Longest delay after failed reads, in ms. Retries back off because refused calls are billed too. */
const MAX_RETRY_DELAY_MS = 800;
/** Interval of fetching from peers while the log doesn't answer, in ms. */
const PEER_FETCH_INTERVAL_MS = 250;
/** The log counts as lost when it hasn't answered for this long beyond the time of one read and its pause, in ms. */
const LOG_LOST_SLACK_MS = 700;
/**
 * A peer that reads the log for others pushes the result of each read to them. When no push has come for this long
 * beyond the time between two reads, each node reads the log itself again, in ms.
 */
const PUSH_SLACK_MS = 400;
/** How often a node that delegates reading checks that the peer still pushes, in ms. */
const DELEGATION_CHECK_INTERVAL_MS = 100;

/**
 * Without a confirmation for this long, neither the log nor any peer can tell what is current, in ms. Another node is
 * then asked to read the log: the store may turn this node away, and the peers that it serves may be out of reach.
 */
const RELAY_AFTER_MS = 1_500;
/** Interval of these requests, in ms. Each costs a call to the log. */
const RELAY_INTERVAL_MS = 1_000;

/** Who has answered for the log. */
type AnswerSource = 'peer' | 'relay' | 'agent-mirror';

/** Starts following a topic; runs until `close`. */
export const followTopic = (options: FollowOptions): Follower => {
  const { topic, mirror, fetchFromPeers, waitMs, pauseMs, clock, metrics, log } = options;
  const pause: Pause = createPause(clock);
  let stopped = false;
  let confirmedAt = -Infinity;
  let logAnsweredAt = -Infinity;
  let recoveredAt = -Infinity;
  let pushedAt = -Infinity;
  let relayedAt = -Infinity;
  let failures = 0;
  /** A peer has switched to a restored log, of which this node has no snapshot yet. */
  /** End of the records that are being fetched because a peer pushed a later position. */
  let fetching: { end: number; generation: number } | undefined;
  let needsSnapshot = false;
  const encodePush = options.sendsDeltas ? createPushEncoder() : (push: PeerPush) => push;
  const unconfirmedExpiry = createUnconfirmedExpiry({
    topic: topic.name,
    mirror,
    rewriteTimeoutMs: options.rewriteTimeoutMs,
    clock,
    log,
  });

  const position = (): { generation: number; end: number } => ({
    generation: mirror.generation(),
    end: mirror.end(),
  });

  const since = (at: number): number => clock.monotonic() - at;

  const recordAnswer = (isConfirmed: boolean): void => {
    const now = clock.monotonic();
    if (failures > 0) {
      recoveredAt = now;
      log.event('log-back', { topic: topic.name, failures, end: mirror.end() });
    }
    failures = 0;
    logAnsweredAt = now;
    if (isConfirmed) confirmedAt = now;
  };

  const recordFailure = (why: LogFailure): void => {
    if (failures === 0) log.event('log-lost', { topic: topic.name, why, end: mirror.end() });
    failures += 1;
    metrics.count('gateway_log_read_failed', { topic: topic.name, why });
  };

  const handleRestore = (before: ReturnType<typeof position>, source: RestoreSource): void => {
    const now = position();
    if (before.generation < 0 || before.generation === now.generation) return;
    recoveredAt = clock.monotonic();
    metrics.count('gateway_log_restored', { topic: topic.name });
    log.event('log-restored', {
      topic: topic.name,
      source,
      beforeGeneration: before.generation,
      beforeEnd: before.end,
      ...now,
      unconfirmed: mirror.unconfirmed().length,
    });
    unconfirmedExpiry.scheduleDrop();
    options.onRestored?.(source);
  };

  /** Applies a snapshot, also one of a restored log; false if it is older than the mirror. */
  const applySnapshot = (snapshot: TopicSnapshot, source: RestoreSource): boolean => {
    const { items, end, generation, deletions } = snapshot;
    const before = position();
    const isApplied = mirror.replace(items, end, generation, deletions);
    if (isApplied) {
      if (source === 'log' || generation > before.generation) needsSnapshot = false;
      handleRestore(before, source);
      return true;
    }
    metrics.count('gateway_pictures_left_out', { topic: topic.name });
    const previous = { beforeGeneration: before.generation, beforeEnd: before.end };
    log.event('picture-left-out', { topic: topic.name, generation, end, ...previous });
    return false;
  };

  const applyPeerRecords = (answer: Omit<PeerRecords, 'ageMs'>): void => {
    const { records, end, generation, isFull = false } = answer;
    const isSameLog = generation === mirror.generation() || mirror.generation() < 0;
    // Applied as a snapshot if it can be: its end may be after a deletion that its records no longer show.
    if (isSameLog && !(isFull && end >= mirror.end())) mirror.apply(records, end, generation);
    else {
      const deletions = records.filter(({ value }) => value === undefined);
      applySnapshot({ items: toItems(records), end, generation, deletions }, 'peer');
    }
    if (isSameLog) unconfirmedExpiry.scheduleDrop();
  };

  const applyAnswer = (answer: PeerRecords | undefined, source: AnswerSource): void => {
    if (!answer || stopped || answer.generation < mirror.generation()) return;
    const before = position();
    applyPeerRecords(answer);
    confirmedAt = Math.max(confirmedAt, clock.monotonic() - answer.ageMs);
    if (mirror.generation() > before.generation || mirror.end() > before.end) {
      metrics.count('gateway_mirror_from_peer', { topic: topic.name });
      const { name } = topic;
      log.event('learnt-from-peer', { topic: name, source, from: before.end, end: mirror.end() });
    }
  };

  const { fetchAgentMirrors } = options;
  const recovery =
    fetchAgentMirrors &&
    createRestoreRecovery({
      topic: topic.name,
      fetch: fetchAgentMirrors,
      apply: (answer) => applyAnswer(answer, 'agent-mirror'),
      clock,
      log,
    });

  const recoverIfRestored = (): void => recovery?.handleGeneration(mirror.generation());

  const forwardAnswer = (after: number): void => {
    const push = { after, records: mirror.changesAfter(after), ...position() };
    options.onLogRead?.(encodePush(push));
  };

  const hasRecentPush = (): boolean => since(pushedAt) < waitMs + pauseMs + PUSH_SLACK_MS;

  const resync = async (): Promise<boolean> => {
    const read = await readSnapshot(topic);
    if (read.outcome === 'failed') {
      recordFailure(read.why);
      return false;
    }
    if (read.outcome === 'restored') return false;
    // A long poll may be answered after `close`; applying the answer would make the stopped node dial links again.
    if (stopped) return true;
    const isFirst = mirror.end() < 0;
    const isApplied = applySnapshot(read.snapshot, 'log');
    recordAnswer(isApplied);
    recoverIfRestored();
    // A node that has just started tells its peers its position only: those that are behind fetch the records. After a
    // loss of all entries, each of them sent the whole intent to all others.
    // Otherwise all of it: peers may hold keys that were deleted before this snapshot and that this mirror never had.
    forwardAnswer(isFirst ? mirror.end() : TOPIC_START);
    return true;
  };

  const readNext = async (): Promise<boolean> => {
    const generation = mirror.generation();
    const read = await topic.read(mirror.end(), failures > 0 ? 0 : waitMs);
    if (read.outcome === 'failed') {
      recordFailure(read.why);
      return false;
    }
    if (stopped) return true;
    // A push may have switched this mirror to a restored log during the read, whose offset belongs to the lost log.
    if (mirror.generation() !== generation || read.generation < generation) return true;
    if (read.generation > generation) return resync();
    if (read.outcome === 'expired') {
      log.event('log-history-gone', { topic: topic.name, from: mirror.end() });
      return resync();
    }
    const after = mirror.end();
    mirror.apply(read.records, read.end, read.generation);
    recordAnswer(true);
    forwardAnswer(after);
    return true;
  };

  const followLog = async (): Promise<void> => {
    let isLoaded = false;
    while (!stopped) {
      if (isLoaded && !needsSnapshot && options.isDelegated?.() && hasRecentPush()) {
        await pause.wait(DELEGATION_CHECK_INTERVAL_MS);
        continue;
      }
      const succeeded: boolean = isLoaded && !needsSnapshot ? await readNext() : await resync();
      isLoaded = isLoaded || succeeded;
      if (stopped) return;
      const maxRetryMs = isLoaded ? (options.retryMaxMs ?? MAX_RETRY_DELAY_MS) : MAX_RETRY_DELAY_MS;
      const retryMs = Math.min(maxRetryMs, RETRY_DELAY_MS * 2 ** Math.max(0, failures - 1));
      await pause.wait(succeeded ? pauseMs : retryMs);
    }
  };

  const fetchOnce = async (offset: number, peer?: string): Promise<void> => {
    const after = { generation: mirror.generation(), offset };
    applyAnswer(await fetchFromPeers(topic.name, after, peer), 'peer');
    recoverIfRestored();
  };

  /** Fetches records once where several peers tell the same position; a failed fetch is made up for by the next push. */
  const fetchUpTo = async ({ end, generation }: EncodedPush, peer?: string): Promise<void> => {
    if (fetching?.generation === generation && end <= fetching.end) return;
    fetching = { end, generation };
    await fetchOnce(mirror.end(), peer);
    fetching = undefined;
  };

  const fetchRelayed = async (): Promise<void> => {
    const isDue = since(confirmedAt) > RELAY_AFTER_MS && since(relayedAt) > RELAY_INTERVAL_MS;
    if (stopped || !options.fetchRelayed || !isDue) return;
    relayedAt = clock.monotonic();
    applyAnswer(await options.fetchRelayed(topic.name), 'relay');
  };

  const pollPeers = async (): Promise<void> => {
    while (!stopped) {
      await sleep(clock, PEER_FETCH_INTERVAL_MS);
      const isLost = since(logAnsweredAt) > waitMs + pauseMs + LOG_LOST_SLACK_MS;
      if (stopped || !(isLost || failures > 0) || hasRecentPush()) continue;
      await fetchOnce(mirror.end());
      void fetchRelayed();
    }
  };

  const handlePush = (push: EncodedPush, peer?: string): void => {
    const { after, end, generation } = push;
    if (stopped || generation < mirror.generation()) return;
    const isLaterGeneration = generation > mirror.generation() && mirror.generation() >= 0;
    if (isLaterGeneration && after !== TOPIC_START) {
      needsSnapshot = true;
      pause.end();
      void fetchOnce(TOPIC_START, peer);
      return;
    }
    // A peer that is behind this mirror, because it reads from a lagging store, confirms nothing.
    if (!isLaterGeneration && end < mirror.end()) return;
    if (!isLaterGeneration && after > mirror.end()) {
      void fetchUpTo(push, peer);
      return;
    }
    // A full push is applied also at the same end: it shows deletions that this mirror may have missed.
    const isFull = after === TOPIC_START;
    const isKnown = !isLaterGeneration && !isFull && end === mirror.end();
    const decoded = isKnown ? { records: [] } : decodePush(push, mirror.items());
    if (!decoded) {
      metrics.count('gateway_push_base_missing', { topic: topic.name });
      void fetchOnce(mirror.end(), peer);
      return;
    }
    applyPeerRecords({ records: [...decoded.records], end, generation, isFull });
    recoverIfRestored();
    pushedAt = clock.monotonic();
    confirmedAt = pushedAt;
  };

  void followLog();
  void pollPeers();

  return {
    age: () => since(confirmedAt),
    logAge: () => since(logAnsweredAt),
    logBackAt: () => recoveredAt,
    fetchNow: (peer) => {
      void fetchOnce(TOPIC_START, peer);
    },
    handleGeneration: (generation) => {
      const isKnown = mirror.generation() < 0 || generation <= mirror.generation();
      const isDelegated = options.isDelegated?.() === true && hasRecentPush();
      // A long poll that is pending may never be answered, as it was sent to the log that has been lost.
      if (!stopped && !isKnown && !isDelegated) void resync();
    },
    handlePush,
    close: () => {
      stopped = true;
      unconfirmedExpiry.close();
      recovery?.close();
      pause.end();
    },
  };
};
