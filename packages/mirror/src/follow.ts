/** Keeps a mirror up to date from the platform's log, and from peers while the log fails. */

import type { Clock, EventLog, Metrics, Pause } from '@plantaindrum/common';
import { createPause, sleep } from '@plantaindrum/common';
import type { KeyedItem, KeyedMirror, KeyedRecord } from './keyed-mirror.js';

/** Why a call to the platform's log brought nothing. */
export type LogFailure = 'refused' | 'no-answer' | 'malformed';

/**
 * Outcome of reading records. The generation of the log rises each time that it is restored from an older copy;
 * offsets of different generations can't be compared.
 */
export type LogReadOutcome =
  | { outcome: 'records'; records: KeyedRecord[]; end: number; generation: number }
  /** The log doesn't have the records asked for: it has deleted them, or doesn't reach so far. */
  | { outcome: 'expired'; generation: number }
  | { outcome: 'failed'; why: LogFailure };

/** Outcome of reading one page of the newest values. */
export type LogNewestOutcome =
  | { outcome: 'items'; items: KeyedItem[]; hasMore: boolean; end: number; generation: number }
  | { outcome: 'failed'; why: LogFailure };

/** A keyed topic of the platform's log. */
export interface KeyedTopic {
  name: string;
  /** Records from an offset on; waits up to `waitMs` for the first. */
  read(from: number, waitMs: number): Promise<LogReadOutcome>;
  /** Newest values of keys after `after`. */
  newest(after: string | undefined): Promise<LogNewestOutcome>;
}

/** What a peer's mirror holds beyond an offset. */
export interface PeerRecords {
  records: KeyedRecord[];
  end: number;
  /** Milliseconds since that peer's mirror was last confirmed. */
  ageMs: number;
}

/** What a peer passes on when the log has just answered it. */
export interface PeerPush {
  /** The peer's end before that answer; a mirror that ends earlier has a gap. */
  after: number;
  records: readonly KeyedRecord[];
  end: number;
}

/** Records that a peer holds beyond an offset; undefined when no peer answered. */
export type AskPeers = (topic: string, after: number) => Promise<PeerRecords | undefined>;

/** Options of `followTopic`. */
export interface FollowOptions {
  topic: KeyedTopic;
  mirror: KeyedMirror;
  askPeers: AskPeers;
  /** Whether a peer reads the log and passes on what it hears; asked before each read. */
  isReadByPeer?: () => boolean;
  /** Told of each answer of the log, to be passed on. */
  onAnswer?: (push: PeerPush) => void;
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
  /** Takes what a peer passes on. */
  takePush(push: PeerPush): void;
  close(): void;
}

/** Pause after a failed read, in ms: short against the two seconds in which a change is due. */
const RETRY_MS = 200;
/** Longest pause after failed reads, in ms: refused calls are paid for as well. */
const RETRY_MAX_MS = 800;
/** Pages of the newest values that are read at the most: a bound on a store that never ends. */
const MAX_PAGES = 1_000;
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
  let generation: number | undefined;

  const since = (at: number): number => clock.monotonic() - at;

  const noteAnswer = (): void => {
    const now = clock.monotonic();
    if (failures > 0) {
      backAt = now;
      log.event('log-back', { topic: topic.name, failures, end: mirror.end() });
    }
    failures = 0;
    logAnsweredAt = now;
    confirmedAt = now;
  };

  const noteFailure = (why: LogFailure): void => {
    if (failures === 0) log.event('log-lost', { topic: topic.name, why, end: mirror.end() });
    failures += 1;
    metrics.count('gateway_log_read_failed', { topic: topic.name, why });
  };

  const noteGeneration = (told: number, end?: number): void => {
    const before = generation;
    generation = told;
    if (before === undefined || told === before) return;
    metrics.count('gateway_log_restored', { topic: topic.name });
    log.event('log-restored', {
      topic: topic.name,
      before,
      generation: told,
      ...(end === undefined ? {} : { end }),
      held: mirror.end(),
    });
  };

  const notePicture = (end: number): void => {
    if (end >= mirror.end()) return;
    metrics.count('gateway_pictures_left_out', { topic: topic.name });
    log.event('picture-left-out', { topic: topic.name, generation, end, held: mirror.end() });
  };

  const takeAnswer = (apply: () => void): void => {
    // A read that waited at the log is answered after the node has stopped: its links would be dialled anew.
    if (stopped) return;
    const after = mirror.end();
    apply();
    noteAnswer();
    options.onAnswer?.({ after, records: mirror.changesAfter(after), end: mirror.end() });
  };

  const hasWord = (): boolean => since(pushedAt) < waitMs + pauseMs + WORD_SLACK_MS;

  const readAll = async (): Promise<boolean> => {
    const items: KeyedItem[] = [];
    let after: string | undefined;
    let end: number | undefined;
    for (let page = 0; page < MAX_PAGES; page += 1) {
      const read = await topic.newest(after);
      if (read.outcome === 'failed') {
        noteFailure(read.why);
        return false;
      }
      noteGeneration(read.generation, read.end);
      items.push(...read.items);
      // Pages are read one after the other; what changed meanwhile is read again from the first end.
      end ??= read.end;
      after = read.items.at(-1)?.key;
      if (!read.hasMore || after === undefined) break;
    }
    notePicture(end ?? 0);
    takeAnswer(() => mirror.replace(items, end ?? 0));
    return true;
  };

  const readOn = async (): Promise<boolean> => {
    const read = await topic.read(mirror.end(), failures > 0 ? 0 : waitMs);
    if (read.outcome === 'failed') {
      noteFailure(read.why);
      return false;
    }
    noteGeneration(read.generation);
    if (read.outcome === 'expired') {
      log.event('log-history-gone', { topic: topic.name, from: mirror.end() });
      return readAll();
    }
    takeAnswer(() => mirror.apply(read.records, read.end));
    return true;
  };

  const followLog = async (): Promise<void> => {
    let isWhole = false;
    while (!stopped) {
      if (isWhole && options.isReadByPeer?.() && hasWord()) {
        await pause.wait(LEFT_MS);
        continue;
      }
      const done: boolean = isWhole ? await readOn() : await readAll();
      isWhole = isWhole || done;
      if (stopped) return;
      const mostMs = isWhole ? (options.retryMaxMs ?? RETRY_MAX_MS) : RETRY_MAX_MS;
      const retryMs = Math.min(mostMs, RETRY_MS * 2 ** Math.max(0, failures - 1));
      await pause.wait(done ? pauseMs : retryMs);
    }
  };

  const askOnce = async (): Promise<void> => {
    const answer = await askPeers(topic.name, mirror.end());
    if (!answer || stopped) return;
    const before = mirror.end();
    mirror.apply(answer.records, answer.end);
    confirmedAt = Math.max(confirmedAt, clock.monotonic() - answer.ageMs);
    if (mirror.end() > before) {
      metrics.count('gateway_mirror_from_peer', { topic: topic.name });
      log.event('learnt-from-peer', { topic: topic.name, from: before, end: mirror.end() });
    }
  };

  const followPeers = async (): Promise<void> => {
    while (!stopped) {
      await sleep(clock, PEER_MS);
      const isLost = since(logAnsweredAt) > waitMs + pauseMs + LOST_MS;
      if (!stopped && (isLost || failures > 0) && !hasWord()) await askOnce();
    }
  };

  void followLog();
  void followPeers();

  return {
    age: () => since(confirmedAt),
    logAge: () => since(logAnsweredAt),
    logBackAt: () => backAt,
    hurry: () => {
      void askOnce();
    },
    takePush: ({ after, records, end }) => {
      // One that is behind this mirror, as of a store that lags for it, confirms nothing.
      if (stopped || end < mirror.end()) return;
      if (after > mirror.end()) {
        void askOnce();
        return;
      }
      mirror.apply(records, end);
      pushedAt = clock.monotonic();
      confirmedAt = pushedAt;
    },
    close: () => {
      stopped = true;
      pause.end();
    },
  };
};
