import type { Random } from '@plantaindrum/common';
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

/** A load under way: calls begin at their times whether or not earlier ones have ended. */
export interface Load {
  /** Calls sent and not yet ended. */
  inFlight(): number;
  /** Resolves with every call once the last has ended. */
  readonly finished: Promise<LoadCall[]>;
  /** Begins no more calls. */
  stop(): void;
}

const TICK_MS = 5;

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
  const pending = schedule(spec);
  const running: Promise<LoadCall>[] = [];
  const begun = performance.now();
  let open = 0;
  let n = 0;

  const begin = async ({ kind }: Due): Promise<LoadCall> => {
    const organisation = pickOrganisation(kind.organisations, spec.random);
    const urls = spec.urls();
    const made = kind.make({ n, organisation, random: spec.random, run: spec.run });
    const url = urls[n % urls.length] ?? '';
    n += 1;
    open += 1;
    const callSpec = { ...made, class: kind.class, url, key: exampleKey(organisation) };
    const result = await call(callSpec);
    open -= 1;
    const done = { class: kind.class, organisation, spec: callSpec, result };
    spec.onDone?.(done);
    return done;
  };

  const finished = new Promise<LoadCall[]>((resolve) => {
    const timer = setInterval(() => {
      const elapsed = performance.now() - begun;
      while (pending[0] && pending[0].atMs <= elapsed) {
        const due = pending.shift();
        if (due) running.push(begin(due));
      }
      if (pending.length > 0) return;
      clearInterval(timer);
      resolve(Promise.all(running));
    }, TICK_MS);
  });

  return {
    inFlight: () => open,
    finished,
    stop: () => {
      pending.length = 0;
    },
  };
};
