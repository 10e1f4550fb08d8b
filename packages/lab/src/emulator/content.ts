/** Which experts the content of requests chooses, and how that shifts over a day. */

import type { Random } from '@plantaindrum/common';

/** Popularity of experts by topic. */
export interface Content {
  /** A topic for a new request. */
  drawTopic(): number;
  /** Share of a topic's picks that goes to each expert, set by set. */
  shares(topic: number): readonly (readonly number[])[];
  /** Other topics come into demand: this share of the requests moves to them. */
  shift(share: number): void;
}

/** Shape of a group's experts, and how uneven their popularity is. */
export interface ContentShape {
  sets: number;
  experts: number;
  topics: number;
  /** Exponent of popularity by place: 0 for even. */
  skew: number;
  /** Part of each topic's picks that all topics have in common. */
  common: number;
}

const normalise = (weights: readonly number[]): number[] => {
  const total = weights.reduce((sum, n) => sum + n, 0);
  return weights.map((n) => n / total);
};

const shuffled = (count: number, random: Random): number[] => {
  const order = Array.from({ length: count }, (_, at) => at);
  for (let at = count - 1; at > 0; at -= 1) {
    const other = Math.floor(random() * (at + 1));
    [order[at], order[other]] = [order[other] ?? 0, order[at] ?? 0];
  }
  return order;
};

/** Popularity that falls with an expert's place in a random order. */
const drawShares = ({ experts, skew }: ContentShape, random: Random): number[] => {
  const places = shuffled(experts, random);
  return normalise(places.map((place) => 1 / (1 + place) ** skew));
};

/** Creates a day's content. */
export const createContent = (shape: ContentShape, random: Random): Content => {
  const { sets, topics, common } = shape;
  const drawSets = (): number[][] => Array.from({ length: sets }, () => drawShares(shape, random));
  const own = Array.from({ length: topics }, drawSets);
  let shared = drawSets();

  /** `part` of one popularity and the rest of the other. */
  const mix = (a: readonly number[][], b: readonly number[][], part: number): number[][] =>
    a.map((set, at) => set.map((share, e) => part * share + (1 - part) * (b[at]?.[e] ?? 0)));
  const drawDemand = (): number[] => normalise(own.map(() => random() ** 3));
  let byTopic = own.map((sharesOfTopic) => mix(shared, sharesOfTopic, common));
  let demand = drawDemand();

  return {
    drawTopic: () => {
      let left = random();
      const topic = demand.findIndex((share) => {
        left -= share;
        return left <= 0;
      });
      return Math.max(0, topic);
    },
    shares: (topic) => byTopic[topic] ?? [],
    shift: (share) => {
      const next = drawDemand();
      demand = demand.map((n, at) => (1 - share) * n + share * (next[at] ?? 0));
      // What all topics have in common moves too, or balance once found would hold all day.
      shared = mix(drawSets(), shared, share);
      byTopic = own.map((sharesOfTopic) => mix(shared, sharesOfTopic, common));
    },
  };
};
