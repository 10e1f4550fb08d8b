/** Keeps a mirror up to date from the platform's log, and from peers while the log fails. */

import type { Clock, EventLog, Metrics, Pause } from '@plantaindrum/common';
import { createPause, sleep } from '@plantaindrum/common';
import type { KeyedItem, KeyedMirror, KeyedRecord } from './keyed-mirror.js';
import { createLostKeys } from './lost-keys.js';
import { readPicture } from './picture.js';
import type { Picture } from './picture.js';
import { WHOLE } from './topic.js';
import type { AskPeers, KeyedTopic, LogFailure, PeerPush, PeerRecords } from './topic.js';

/** How a node learnt that the log was restored from an older copy. */
export type RestoreSource = 'log' | 'peer';

/** Options of `followTopic`. */
export interface FollowOptions {
  topic: KeyedTopic;
  mirror: KeyedMirror;
  askPeers: AskPeers;
  /** Whether a peer reads the log and passes on what it hears; asked before each read. */
  isReadByPeer?: () => boolean;
  /** Told of each answer of the log, to be passed on. */
  onAnswer?: (push: PeerPush) => void;
  /** Told when the mirror has moved on to a log that was restored from an older copy. */
  onRestored?: (source: RestoreSource) => void;
  /** Time after a restore for writers to write again what was lost, in ms; then it is dropped. Without it, it is kept. */
  rewrittenWithinMs?: number;
  /** How long one read waits at the log, and the pause after each read, in milliseconds. */
  waitMs: number;
  pauseMs: number;
  /** Longest pause after failed reads once the topic has been read, in ms; the usual one where it isn't given. */
  retryMaxMs?: number;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** A mirror that is kept up to date. */
export interface Follower {
  /** Milliseconds since the log or a peer last confirmed the mirror; Infinity before the first. */
  age(): number;
  /** Milliseconds since the log itself last answered. */
  logAge(): number;
  /** When the log came back after an outage (monotonic, ms); -Infinity for never. */
  logBackAt(): number;
  /** Asks peers now: one of them is known to be ahead. */
  hurry(): void;
  /** Another topic has shown that the log was restored: reads what this one holds now. */
  noteGeneration(generation: number): void;
  /** Takes what a peer passes on. */
  takePush(push: PeerPush): void;
  close(): void;
}

/** Pause after a failed read, in ms: short against the two seconds in which a change is due. */
const RETRY_MS = 200;
/** Longest pause after failed reads, in ms: refused calls are paid for as well. */
const RETRY_MAX_MS = 800;
/** Peers are asked this often while the log doesn't answer, in ms. */
const PEER_MS = 250;
/** Without an answer for this long beyond what a read waits, the log counts as lost, in ms. */
const LOST_MS = 700;
/**
 * A peer that reads the log for others tells them after each read. Without its word for this long
 * beyond the time between its reads, each reads the log itself again, in ms.
 */
const WORD_SLACK_MS = 400;
/** How often a node that leaves reading to a peer looks whether the peer still does, in ms. */
const LEFT_MS = 100;

const withValue = ({ key, value, offset }: KeyedRecord): KeyedItem[] =>
  value === undefined ? [] : [{ key, value, offset }];

/** Starts to follow a topic; runs until `close`. */
export const followTopic = (options: FollowOptions): Follower => {
  const { topic, mirror, askPeers, waitMs, pauseMs, clock, metrics, log } = options;
  const pause: Pause = createPause(clock);
  let stopped = false;
  let confirmedAt = -Infinity;
  let logAnsweredAt = -Infinity;
  let backAt = -Infinity;
  let pushedAt = -Infinity;
  let failures = 0;
  /** A peer has moved on to a restored log, and what it holds there isn't known yet. */
  let needsPicture = false;
  const lostKeys = createLostKeys({
    topic: topic.name,
    mirror,
    withinMs: options.rewrittenWithinMs,
    clock,
    log,
  });

  const held = (): { generation: number; end: number } => ({
    generation: mirror.generation(),
    end: mirror.end(),
  });

  const since = (at: number): number => clock.monotonic() - at;

  const noteAnswer = (isConfirmed: boolean): void => {
    const now = clock.monotonic();
    if (failures > 0) {
      backAt = now;
      log.event('log-back', { topic: topic.name, failures, end: mirror.end() });
    }
    failures = 0;
    logAnsweredAt = now;
    if (isConfirmed) confirmedAt = now;
  };

  const noteFailure = (why: LogFailure): void => {
    if (failures === 0) log.event('log-lost', { topic: topic.name, why, end: mirror.end() });
    failures += 1;
    metrics.count('gateway_log_read_failed', { topic: topic.name, why });
  };

  const noteRestored = (before: ReturnType<typeof held>, source: RestoreSource): void => {
    const now = held();
    if (before.generation < 0 || before.generation === now.generation) return;
    backAt = clock.monotonic();
    metrics.count('gateway_log_restored', { topic: topic.name });
    log.event('log-restored', {
      topic: topic.name,
      source,
      beforeGeneration: before.generation,
      beforeEnd: before.end,
      ...now,
      unconfirmed: mirror.unconfirmed().length,
    });
    lostKeys.dropLater();
    options.onRestored?.(source);
  };

  /** Takes a whole picture, also one of a log that was restored; false for one that is too old. */
  const takePicture = (picture: Picture, source: RestoreSource): boolean => {
    const { items, end, generation } = picture;
    const before = held();
    const isTaken = mirror.replace(items, end, generation);
    if (isTaken) {
      needsPicture = false;
      noteRestored(before, source);
      return true;
    }
    metrics.count('gateway_pictures_left_out', { topic: topic.name });
    const place = { beforeGeneration: before.generation, beforeEnd: before.end };
    log.event('picture-left-out', { topic: topic.name, generation, end, ...place });
    return false;
  };

  const passOn = (after: number): void => {
    options.onAnswer?.({ after, records: mirror.changesAfter(after), ...held() });
  };

  const hasWord = (): boolean => since(pushedAt) < waitMs + pauseMs + WORD_SLACK_MS;

  const readAll = async (): Promise<boolean> => {
    const read = await readPicture(topic);
    if (read.outcome === 'failed') {
      noteFailure(read.why);
      return false;
    }
    if (read.outcome === 'restored') return false;
    // A read that waited at the log is answered after the node has stopped: its links would be dialled anew.
    if (stopped) return true;
    const before = held();
    const isTaken = takePicture(read.picture, 'log');
    noteAnswer(isTaken);
    passOn(before.generation === mirror.generation() ? before.end : WHOLE);
    return true;
  };

  const readOn = async (): Promise<boolean> => {
    const generation = mirror.generation();
    const read = await topic.read(mirror.end(), failures > 0 ? 0 : waitMs);
    if (read.outcome === 'failed') {
      noteFailure(read.why);
      return false;
    }
    if (stopped) return true;
    // A peer has moved this mirror on to a restored log meanwhile: the read began at a place of the lost one.
    if (mirror.generation() !== generation || read.generation < generation) return true;
    if (read.generation > generation) return readAll();
    if (read.outcome === 'expired') {
      log.event('log-history-gone', { topic: topic.name, from: mirror.end() });
      return readAll();
    }
    const after = mirror.end();
    mirror.apply(read.records, read.end, read.generation);
    noteAnswer(true);
    passOn(after);
    return true;
  };

  const followLog = async (): Promise<void> => {
    let isWhole = false;
    while (!stopped) {
      if (isWhole && !needsPicture && options.isReadByPeer?.() && hasWord()) {
        await pause.wait(LEFT_MS);
        continue;
      }
      const done: boolean = isWhole && !needsPicture ? await readOn() : await readAll();
      isWhole = isWhole || done;
      if (stopped) return;
      const mostMs = isWhole ? (options.retryMaxMs ?? RETRY_MAX_MS) : RETRY_MAX_MS;
      const retryMs = Math.min(mostMs, RETRY_MS * 2 ** Math.max(0, failures - 1));
      await pause.wait(done ? pauseMs : retryMs);
    }
  };

  const takeFromPeer = ({ records, end, generation }: Omit<PeerRecords, 'ageMs'>): void => {
    if (generation === mirror.generation() || mirror.generation() < 0) {
      mirror.apply(records, end, generation);
      lostKeys.dropLater();
      return;
    }
    takePicture({ items: records.flatMap(withValue), end, generation }, 'peer');
  };

  const askOnce = async (offset: number): Promise<void> => {
    const answer = await askPeers(topic.name, { generation: mirror.generation(), offset });
    if (!answer || stopped || answer.generation < mirror.generation()) return;
    const before = held();
    takeFromPeer(answer);
    confirmedAt = Math.max(confirmedAt, clock.monotonic() - answer.ageMs);
    if (mirror.generation() > before.generation || mirror.end() > before.end) {
      metrics.count('gateway_mirror_from_peer', { topic: topic.name });
      log.event('learnt-from-peer', { topic: topic.name, from: before.end, end: mirror.end() });
    }
  };

  const followPeers = async (): Promise<void> => {
    while (!stopped) {
      await sleep(clock, PEER_MS);
      const isLost = since(logAnsweredAt) > waitMs + pauseMs + LOST_MS;
      if (!stopped && (isLost || failures > 0) && !hasWord()) await askOnce(mirror.end());
    }
  };

  const takePush = (push: PeerPush): void => {
    const { after, end, generation } = push;
    if (stopped || generation < mirror.generation()) return;
    const isOfLaterLog = generation > mirror.generation() && mirror.generation() >= 0;
    if (isOfLaterLog && after !== WHOLE) {
      needsPicture = true;
      pause.end();
      void askOnce(WHOLE);
      return;
    }
    // One that is behind this mirror, as of a store that lags for it, confirms nothing.
    if (!isOfLaterLog && end < mirror.end()) return;
    if (!isOfLaterLog && after > mirror.end()) {
      void askOnce(mirror.end());
      return;
    }
    takeFromPeer({ records: [...push.records], end, generation });
    pushedAt = clock.monotonic();
    confirmedAt = pushedAt;
  };

  void followLog();
  void followPeers();

  return {
    age: () => since(confirmedAt),
    logAge: () => since(logAnsweredAt),
    logBackAt: () => backAt,
    hurry: () => {
      void askOnce(WHOLE);
    },
    noteGeneration: (generation) => {
      const isKnown = mirror.generation() < 0 || generation <= mirror.generation();
      const isPassedOn = options.isReadByPeer?.() === true && hasWord();
      // A read that waits at the log may have been lost with the log that it was sent to.
      if (!stopped && !isKnown && !isPassedOn) void readAll();
    },
    takePush,
    close: () => {
      stopped = true;
      lostKeys.close();
      pause.end();
    },
  };
};
