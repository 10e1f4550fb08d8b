import type { Random } from '@plantaindrum/common';
import { startOpenLoop } from '@plantaindrum/stand-ins';
import type { OpenLoop } from '@plantaindrum/stand-ins';
import type { CallResult, CallSpec } from './caller.js';
import { call } from './caller.js';
import type { TrafficKind } from './traffic.js';
import { exampleKey, pickOrganisation } from './traffic.js';

/** A finished call of a load. */
export interface LoadCall {
  class: string;
  organisation: string;
  spec: CallSpec;
  result: CallResult;
}

/** Calls that a load makes. */
export interface LoadSpec {
  kinds: TrafficKind[];
  /** Base URLs of the entries, used in turn. */
  urls: () => string[];
  random: Random;
  /** Identifies this load among those of several runs. */
  run: string;
  /** Time during which calls are started. */
  durationMs: number;
  /** Factor for the rate of every kind, 1 by default. */
  scale?: number;
  onDone?: (done: LoadCall) => void;
}

/** A running load. */
export type Load = OpenLoop<LoadCall>;

interface ScheduledCall {
  kind: TrafficKind;
  atMs: number;
}

/** Start times of all calls in ascending order; the gaps of a kind are uniformly random around its mean. */
const schedule = (spec: LoadSpec): ScheduledCall[] => {
  const scale = spec.scale ?? 1;
  return spec.kinds
    .flatMap((kind) => {
      const gapMs = 1000 / (kind.perSecond * scale);
      const scheduled: ScheduledCall[] = [];
      for (let at = spec.random() * gapMs; at < spec.durationMs; at += gapMs * 2 * spec.random()) {
        scheduled.push({ kind, atMs: at });
      }
      return scheduled;
    })
    .sort((a, b) => a.atMs - b.atMs);
};

/** Starts an open-loop load: calls start on schedule, whether earlier ones have ended or not. */
export const startLoad = (spec: LoadSpec): Load => {
  let n = 0;

  const send = async ({ kind }: ScheduledCall): Promise<LoadCall> => {
    const organisation = pickOrganisation(kind.organisations, spec.random);
    const urls = spec.urls();
    const request = kind.make({ n, organisation, random: spec.random, run: spec.run });
    const url = urls[n % urls.length] ?? '';
    n += 1;
    const callSpec = { ...request, class: kind.class, url, key: exampleKey(organisation) };
    const result = await call(callSpec);
    const done = { class: kind.class, organisation, spec: callSpec, result };
    spec.onDone?.(done);
    return done;
  };

  return startOpenLoop(schedule(spec), send);
};
