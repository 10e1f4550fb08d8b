import type { Random } from '@plantaindrum/common';
import type { Lane } from '@plantaindrum/requests';
import type { ModelRequest } from './routing-upstream.js';

/** A class of the modelled traffic. */
export interface ModelClass {
  name: string;
  lane: Lane;
  /** Share of the requests. */
  share: number;
  targetMs: number;
}

/** The classes of the modelled site. */
export const MODEL_CLASSES: readonly ModelClass[] = [
  { name: 'live-summary', lane: 'live', share: 0.3, targetMs: 800 },
  { name: 'reply', lane: 'normal', share: 0.25, targetMs: 1_800 },
  { name: 'triage', lane: 'normal', share: 0.2, targetMs: 4_000 },
  { name: 'draft', lane: 'background', share: 0.25, targetMs: 6_000 },
];

/** Organisations of the modelled site. */
export const ORGANISATIONS = 10;
const FLOOD_SHARE = 10;
const PREFIXES_PER_ORGANISATION = 16;
const PREFIX_TOKENS = 600;
const OWN_PROMPT_TOKENS = 60;
const MEAN_OUTPUT_TOKENS = 60;
/** Prompt tokens that cost as much as one output token. */
const PROMPT_TOKENS_PER_COST = 20;

/** Picks organisations so that the first sends ten times as much as each of the others. */
export const flooded = (random: Random): number => {
  const ticket = Math.floor(random() * (ORGANISATIONS - 1 + FLOOD_SHARE));
  return ticket < FLOOD_SHARE ? 0 : ticket - FLOOD_SHARE + 1;
};

/** Makes the requests of a run. */
export interface RequestSource {
  next(now: number): ModelRequest;
  /** Time to the next request at a rate, exponentially distributed, in milliseconds. */
  gapMs(perSecond: number): number;
}

/** Settings that an experiment may change. */
export interface TrafficOptions {
  /** Picks an organisation; by default a few are large. */
  organisation?: (random: Random) => number;
  classOf?: (organisation: number, random: Random) => ModelClass;
}

const pickClass = (random: Random): ModelClass => {
  let left = random();
  const found = MODEL_CLASSES.find(({ share }) => {
    left -= share;
    return left < 0;
  });
  return found ?? MODEL_CLASSES[0]!;
};

const skewed = (random: Random, count: number): number => Math.floor(random() ** 2 * count);

const exponential = (random: Random): number => -Math.log(1 - random());

/** Creates the source of a run. */
export const createRequestSource = (
  random: Random,
  options: TrafficOptions = {},
): RequestSource => {
  let serial = 0;
  return {
    next: (now) => {
      serial += 1;
      const organisation = options.organisation?.(random) ?? skewed(random, ORGANISATIONS);
      const { name, lane, targetMs } = (options.classOf ?? ((_, rnd) => pickClass(rnd)))(
        organisation,
        random,
      );
      const outputTokens = 5 + Math.round(exponential(random) * (MEAN_OUTPUT_TOKENS - 5));
      const promptTokens = PREFIX_TOKENS + OWN_PROMPT_TOKENS;
      return {
        id: `r${serial}`,
        organisation: `org${organisation}`,
        class: name,
        lane,
        cost: outputTokens + promptTokens / PROMPT_TOKENS_PER_COST,
        deadline: now + targetMs,
        prefix: `org${organisation}-p${skewed(random, PREFIXES_PER_ORGANISATION)}`,
        prefixTokens: PREFIX_TOKENS,
        promptTokens,
        outputTokens,
        sentAt: now,
        targetMs,
      };
    },
    gapMs: (perSecond) => (1_000 / perSecond) * exponential(random),
  };
};
