import type { Clock } from '@plantaindrum/common';
import type { UpstreamRecord } from '../types.js';
import { createPaceRecord } from './pace-record.js';
import { createRateLimit } from './rate-limit.js';
import type { RateLimit } from './rate-limit.js';

/** One upstream as this entry sees it. */
export interface Upstream {
  readonly record: UpstreamRecord;
  /** Takes what the upstream says of itself now. */
  update(record: UpstreamRecord): void;
  /** Requests of this entry that are at the upstream. */
  inFlight(): number;
  begin(): void;
  end(): void;
  /** Requests of another entry that are at the upstream; how many more these are than before. */
  notePeer(peer: string, inFlight: number): number;
  forgetPeer(peer: string): void;
  /** All requests known to be at the upstream, over its slots. */
  load(): number;
  total(): number;
  /** The agent beside the upstream says that it works this much slower than usual. */
  notePace(pace: number): void;
  /** Time of its work over the usual; 1 unless its agent has said otherwise lately. */
  pace(): number;
  /** Load that one more request would bring, more where the upstream is slow. */
  costOfNext(): number;
  /** Running and waiting requests as the upstream reports them. */
  noteLoad(running: number, waiting: number): void;
  /** The rate limit that it advertises for all entries together. */
  readonly rate: RateLimit;
  /** Outcome of an attempt, for its health. */
  noteSuccess(): void;
  noteFailure(kind: 'unreachable' | 'failed' | 'refused'): void;
  /** The upstream refused a request without running it. */
  noteRefusal(): void;
  /** It has refused a request a moment ago, and answered none since. */
  isRefusing(): boolean;
  /** Not to be chosen while others are there. */
  isSuspect(): boolean;
  /** Share of recent attempts that failed, 0 to 1. */
  failureShare(): number;
}

/** Weight of one outcome in the failure share: some eight outcomes are remembered. */
const OUTCOME_WEIGHT = 0.12;
/** Failure share from which an upstream is suspect: three failures in a row from a clean state. */
const SUSPECT_SHARE = 0.3;
/** First time out after which a suspect is tried again, doubled each time, in ms. */
const SUSPECT_MS = 400;
const SUSPECT_MAX_MS = 3_200;
/** A refusal says something about the next request for this long, in ms: a group forms in 600. */
const REFUSING_MS = 300;
/** An upstream's report of its load counts this long, in ms: later its queue has changed. */
const LOAD_VALID_MS = 250;

/** Creates the view of one upstream; `linkedShare` is the part of the entries that this one hears of. */
export const createUpstream = (
  first: UpstreamRecord,
  clock: Clock,
  linkedShare: () => number = () => 1,
): Upstream => {
  let record = first;
  let own = 0;
  const peers = new Map<string, number>();
  // Asked for at each choice, of each upstream: summed over all entries it took most of the choice's time.
  let ofPeers = 0;
  let failureShare = 0;
  let suspectUntil = -Infinity;
  let suspectMs = SUSPECT_MS;
  let refusedAt = -Infinity;
  const paceRecord = createPaceRecord(clock);
  const rate = createRateLimit(clock, linkedShare);
  let reportedLoad = { at: -Infinity, excess: 0 };

  const total = (): number => own + ofPeers;

  const setPeer = (peer: string, inFlight: number): number => {
    const more = inFlight - (peers.get(peer) ?? 0);
    ofPeers += more;
    if (inFlight > 0) peers.set(peer, inFlight);
    else peers.delete(peer);
    return more;
  };

  const load = (): number => {
    const excess = clock.monotonic() - reportedLoad.at < LOAD_VALID_MS ? reportedLoad.excess : 0;
    return (total() + excess) / Math.max(1, record.slots);
  };

  const suspect = (): void => {
    const now = clock.monotonic();
    if (now < suspectUntil) return;
    suspectUntil = now + suspectMs;
    suspectMs = Math.min(SUSPECT_MAX_MS, suspectMs * 2);
  };

  return {
    get record() {
      return record;
    },
    update: (next) => {
      record = next;
    },
    inFlight: () => own,
    begin: () => {
      own += 1;
    },
    end: () => {
      own -= 1;
    },
    notePeer: setPeer,
    forgetPeer: (peer) => {
      setPeer(peer, 0);
    },
    total,
    load,
    notePace: paceRecord.note,
    pace: paceRecord.pace,
    costOfNext: () => (load() + 1 / Math.max(1, record.slots)) * paceRecord.pace(),
    noteLoad: (running, waiting) => {
      reportedLoad = { at: clock.monotonic(), excess: Math.max(0, running + waiting - total()) };
    },
    rate,
    noteRefusal: () => {
      refusedAt = clock.monotonic();
    },
    isRefusing: () => clock.monotonic() - refusedAt < REFUSING_MS,
    noteSuccess: () => {
      refusedAt = -Infinity;
      failureShare *= 1 - OUTCOME_WEIGHT;
      if (clock.monotonic() > suspectUntil) suspectMs = SUSPECT_MS;
    },
    noteFailure: (kind) => {
      failureShare += (1 - failureShare) * OUTCOME_WEIGHT;
      if (kind === 'unreachable' || failureShare > SUSPECT_SHARE) suspect();
    },
    isSuspect: () => clock.monotonic() < suspectUntil,
    failureShare: () => failureShare,
  };
};
