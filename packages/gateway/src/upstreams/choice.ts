/**
 * Which of the upstreams that look least loaded gets the next request.
 *
 * The pattern: entries hear of each other's requests a moment late. While each sends to the one upstream
 * that looks emptiest, so do the others, and they meet there: of 328 requests a second from 36 entries to
 * 192 upstreams of 4 places, 52 found no place although a quarter of all places was free; of 183 from 16
 * entries to 63 upstreams of 7 places, 18. So the choice reckons with what the others send before it can be
 * heard of: it is made, by free places, among as many upstreams as have places for a few times that many.
 * Then 5 and 2 a second found none; with five entries it is the emptiest as before, or one of the next.
 */

import type { Random } from '@plantaindrum/common';

/** One upstream as the choice needs it. */
export interface Offer {
  /** Load that the request would bring it, in slots over slots, and what else speaks against it. */
  cost: number;
  /** Places that are free there, as far as is known. */
  free: number;
}

/**
 * Free places that the choice is spread over, in times of the requests that others send meanwhile. With
 * once as many a third of the requests that met still did; beyond four times nothing is gained.
 */
const SPREAD = 3;
/** An upstream that costs this much more than the best is not chosen however many places it has. */
const MOST_APART = 0.5;
/** Weight of an upstream without a free place that costs as little as the best, in places. */
const LEAST_WEIGHT = 0.25;
const SAME = 1e-9;

/** Picks one of the offers by its index, -1 where there is none; `meanwhile` requests come from others. */
export const pickOffer = (offers: readonly Offer[], meanwhile: number, random: Random): number => {
  let least = Infinity;
  for (const { cost } of offers) least = Math.min(least, cost);
  const order: { cost: number; at: number }[] = [];
  offers.forEach(({ cost }, at) => {
    if (cost <= least + MOST_APART) order.push({ cost, at });
  });
  order.sort((a, b) => a.cost - b.cost);
  const [best] = order;
  if (!best) return -1;
  const picked: { at: number; weight: number }[] = [];
  let places = 0;
  for (const { cost, at } of order) {
    const free = offers[at]?.free ?? 0;
    const isBest = cost <= best.cost + SAME;
    const isWanted = places < SPREAD * meanwhile && free > 0 && cost <= best.cost + MOST_APART;
    if (!isBest && !isWanted) break;
    places += free;
    picked.push({ at, weight: Math.max(free, LEAST_WEIGHT) });
  }
  let rest = random() * picked.reduce((sum, { weight }) => sum + weight, 0);
  const chosen = picked.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (chosen ?? picked.at(-1) ?? best).at;
};
