/** What the end of an attempt shows about the rank group of its upstream. */

import type { Upstream } from '../upstreams/upstream.js';
import type { GroupDirectory, RankGroup } from './group-directory.js';

/** How an attempt ended, as far as its group is concerned. */
export interface AttemptEnd {
  outcome: 'whole' | 'streamed' | 'not-run' | 'unknown';
  why?: string;
  /** For a refusal: whether the upstream has room, as far as it says. */
  hasRoom?: boolean;
}

/** Why an attempt ended that the upstream refused. */
const REFUSED = 'status-503';
/**
 * Why an attempt ended when the process of its upstream was gone, or its connection broke. Ranks of a group break all
 * their streams when the group closes.
 */
const LOST: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET', 'stream-broke-off']);
/**
 * A closed group refuses within some 5 ms. A rank that refuses later than this, in ms, had the request in its queue.
 */
const PROMPT_REFUSAL_MS = 100;

/**
 * Records a failed attempt with its group; returns the group if its upstream refused to run the request for a reason
 * that its other ranks may share.
 */
export const recordGroupFailure = (
  groups: GroupDirectory,
  upstream: Upstream,
  end: AttemptEnd,
  durationMs: number,
): RankGroup | undefined => {
  const group = groups.groupOf(upstream);
  if (!group || end.outcome === 'whole' || end.outcome === 'streamed') return undefined;
  const isPrompt = durationMs < PROMPT_REFUSAL_MS;
  if (end.why === REFUSED && end.hasRoom !== false && isPrompt) {
    groups.recordRefusal(upstream);
    return group;
  }
  if (LOST.has(end.why ?? '')) {
    groups.recordLoss(upstream);
    return end.outcome === 'not-run' ? group : undefined;
  }
  groups.recordInconclusive(upstream);
  return undefined;
};
