/** Specification and figures of one load pattern. */

/** A class of callers. */
export interface CallerClass {
  name: string;
  priority: number;
  targetMs: number;
  /** Worth of a stream on time, and the fraction of it that a late one is worth. */
  value: number;
  lateFraction: number;
  perSecond: number;
}

/** A period in which the traffic or the site differs. */
export interface Episode {
  fromMs: number;
  toMs: number;
  /** Factor of the arrivals by class name. */
  factors?: Readonly<Record<string, number>>;
  /** Factor of the arrivals of the first organisation. */
  floodFactor?: number;
  /** Factor of the length of prompts. */
  promptFactor?: number;
  /** Fraction of the upstreams that receive no new requests. */
  evacuated?: number;
}

/** How admission decides. */
export type AdmissionMode = 'today' | 'shared';

/** One run. */
export interface LoadSpec {
  seed: number;
  entries: number;
  mode: AdmissionMode;
  lengthMs: number;
  classes: readonly CallerClass[];
  episodes: readonly Episode[];
}

/** Outcome of one caller's request, with all of its returns. */
export type CallerOutcome = 'on-time' | 'late' | 'refused-again' | 'unserved';

/** Figures of one run. */
export interface LoadFigures {
  callers: number;
  /** Fraction of the worth of all callers that was earned, in total, by class, and in the worst two seconds. */
  worth: number;
  worthByClass: Record<string, number>;
  worstWindow: number;
  /** Fraction of the callers that were served in time, by class. */
  inTimeByClass: Record<string, number>;
  /** Jain's index of the fraction served in time, by organisation. */
  jain: number;
  refused: number;
  refusedAgain: number;
  /** Late streams, by the first event that was late or by a later one. */
  lateFirst: number;
  latePause: number;
  /** Mean time that served streams waited at the entry, in ms. */
  meanWaitMs: number;
  meanPassMs: number;
}
