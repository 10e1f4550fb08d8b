/** Popularity of experts by the topic of requests, and its shifts over a day. */

import type { Random } from '@plantaindrum/common';

/** Popularity of experts by topic. */
export interface Content {
  /** Draws the topic of a new request. */
  drawTopic(): number;
  /** Fraction of a topic's expert selections that goes to each expert, by set. */
  shares(topic: number): readonly (readonly number[])[];
  /** Moves this fraction of the demand to newly drawn topics, and of the common popularity to new experts. */
  shift(share: number): void;
}

/** Number of a group's experts and topics, and the unevenness of the experts' popularity. */
export interface ContentShape {
  sets: number;
  experts: number;
  topics: number;
  /** Exponent by which popularity falls with an expert's rank of popularity; 0 means even. */
  skew: number;
  /** Fraction of each topic's popularity that all topics have in common. */
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

/** Draws a popularity that falls with an expert's position in a random order. */
const drawShares = ({ experts, skew }: ContentShape, random: Random): number[] => {
  const popularityRanks = shuffled(experts, random);
  return normalise(popularityRanks.map((popularityRank) => 1 / (1 + popularityRank) ** skew));
};

/** Creates the content of one day. */
export const createContent = (shape: ContentShape, random: Random): Content => {
  const { sets, topics, common } = shape;
  const drawSets = (): number[][] => Array.from({ length: sets }, () => drawShares(shape, random));
  const ownShares = Array.from({ length: topics }, drawSets);
  let commonShares = drawSets();

  /** Mixes two popularities: `fraction` of the first and the rest of the second. */
  const mix = (a: readonly number[][], b: readonly number[][], fraction: number): number[][] =>
    a.map((set, at) =>
      set.map((share, e) => fraction * share + (1 - fraction) * (b[at]?.[e] ?? 0)),
    );
  const drawDemand = (): number[] => normalise(ownShares.map(() => random() ** 3));
  let byTopic = ownShares.map((sharesOfTopic) => mix(commonShares, sharesOfTopic, common));
  let demand = drawDemand();

  return {
    drawTopic: () => {
      let remaining = random();
      const topic = demand.findIndex((share) => {
        remaining -= share;
        return remaining <= 0;
      });
      return Math.max(0, topic);
    },
    shares: (topic) => byTopic[topic] ?? [],
    shift: (share) => {
      const newDemand = drawDemand();
      demand = demand.map((n, at) => (1 - share) * n + share * (newDemand[at] ?? 0));
      // The common popularity shifts too; otherwise a balanced map would stay balanced all day.
      commonShares = mix(drawSets(), commonShares, share);
      byTopic = ownShares.map((sharesOfTopic) => mix(commonShares, sharesOfTopic, common));
    },
  };
};
