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

/** What to send. */
export interface LoadSpec {
  kinds: TrafficKind[];
  /** Base addresses of the entries, used in turn. */
  urls: () => string[];
  random: Random;
  run: string;
  /** How long new calls begin, in milliseconds. */
  durationMs: number;
  /** Multiplies every kind's rate. */
  scale?: number;
  onDone?: (done: LoadCall) => void;
}

/** A load under way. */
export type Load = OpenLoop<LoadCall>;

interface Due {
  kind: TrafficKind;
  atMs: number;
}

/** Begin times of every call, in order; gaps vary at random around the kind's rate. */
const schedule = (spec: LoadSpec): Due[] => {
  const scale = spec.scale ?? 1;
  return spec.kinds
    .flatMap((kind) => {
      const gapMs = 1000 / (kind.perSecond * scale);
      const due: Due[] = [];
      for (let at = spec.random() * gapMs; at < spec.durationMs; at += gapMs * 2 * spec.random()) {
        due.push({ kind, atMs: at });
      }
      return due;
    })
    .sort((a, b) => a.atMs - b.atMs);
};

/** Starts an open-loop load. */
export const startLoad = (spec: LoadSpec): Load => {
  let n = 0;

  const send = async ({ kind }: Due): Promise<LoadCall> => {
    const organisation = pickOrganisation(kind.organisations, spec.random);
    const urls = spec.urls();
    const made = kind.make({ n, organisation, random: spec.random, run: spec.run });
    const url = urls[n % urls.length] ?? '';
    n += 1;
    const callSpec = { ...made, class: kind.class, url, key: exampleKey(organisation) };
    const result = await call(callSpec);
    const done = { class: kind.class, organisation, spec: callSpec, result };
    spec.onDone?.(done);
    return done;
  };

  return startOpenLoop(schedule(spec), send);
};
