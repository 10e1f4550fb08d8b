/**
 * Selects the upstream of the next request among the least loaded ones.
 *
 * Entries learn of each other's requests with a delay. If each entry sent to the upstream that looks least loaded, many
 * would select the same one: of 328 requests a second from 36 entries to 192 upstreams with 4 slots each, 52 found no
 * free slot although a quarter of all slots were free; of 183 from 16 entries to 63 upstreams with 7 slots each, 18.
 * The selection therefore takes into account what the others are expected to send in the meantime: it is random,
 * weighted by free slots, among the least loaded upstreams that together have slots for a few times that many requests.
 * With it 5 and 2 requests a second found no free slot. With five entries it selects the least loaded upstream or
 * one of the next.
 */

import type { Random } from '@plantaindrum/common';

/** An upstream that may be selected. */
export interface Candidate {
  /** Load score: its load with this request, as a fraction of its slots, plus penalties; see `loadScoreOf`. */
  score: number;
  /** Slots that are free there, as far as is known; below 0 when requests are waiting. */
  free: number;
}

/**
 * Free slots that the selection is spread over, as a multiple of the requests that others send in the meantime. With 1
 * a third of the collisions remained; beyond 4 nothing is gained.
 */
const SPREAD_FACTOR = 3;
/**
 * An upstream whose score exceeds the best one by more than this is not selected, however many slots are free there.
 */
const MAX_SCORE_DIFFERENCE = 0.5;
/** Weight, in slots, of an upstream without a free slot whose score equals the best one. */
const MIN_WEIGHT = 0.25;
/** Scores that differ by less than this are equal. */
const SCORE_TOLERANCE = 1e-9;

/**
 * Returns the index of the selected candidate, -1 where there is none. `concurrentArrivals` is the number of requests
 * that other entries are expected to send in the meantime.
 */
export const selectCandidate = (
  candidates: readonly Candidate[],
  concurrentArrivals: number,
  random: Random,
): number => {
  let minScore = Infinity;
  for (const { score } of candidates) minScore = Math.min(minScore, score);
  const byScore: { score: number; index: number }[] = [];
  candidates.forEach(({ score }, index) => {
    if (score <= minScore + MAX_SCORE_DIFFERENCE) byScore.push({ score, index });
  });
  byScore.sort((a, b) => a.score - b.score);
  const [best] = byScore;
  if (!best) return -1;
  const selected: { index: number; weight: number }[] = [];
  let freeTotal = 0;
  for (const { score, index } of byScore) {
    const free = candidates[index]?.free ?? 0;
    const isBest = score <= best.score + SCORE_TOLERANCE;
    const isNeeded =
      freeTotal < SPREAD_FACTOR * concurrentArrivals &&
      free > 0 &&
      score <= best.score + MAX_SCORE_DIFFERENCE;
    if (!isBest && !isNeeded) break;
    freeTotal += free;
    selected.push({ index, weight: Math.max(free, MIN_WEIGHT) });
  }
  let remaining = random() * selected.reduce((sum, { weight }) => sum + weight, 0);
  const chosen = selected.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (chosen ?? selected.at(-1) ?? best).index;
};
