/** The load under faults: which calls, who tries again, and how each ended. */
import { setTimeout as delay } from 'node:timers/promises';
import { systemClock } from '@plantaindrum/common';
import type { Arrival, CallResult, LoadStream } from '@plantaindrum/stand-ins';
import { createSender, startLoad } from '@plantaindrum/stand-ins';
import type { SiteSpec } from '../../harness/site-types.js';
import { exampleKey } from '../../harness/traffic.js';
import type { Strike } from './strike.js';

/** A call with the entry that it went to; times in milliseconds of `performance.now()`. */
export interface FaultCall {
  result: CallResult;
  target: string;
  beganAt: number;
  endedAt: number;
}

const CALLER_TIMEOUT_MS = 40_000;
const RETRY_AFTER_MS = 1_000;
const MOST_SENDS = 3;
/** How late a call may end beyond its class target and the time that its tokens take. */
export const OVERRUN_MS = 6_000;
const TOKEN_MS = 25;

const streamOf = (
  spec: SiteSpec,
  organisation: string,
  className: string,
  perSecond: number,
): Omit<LoadStream, 'work'> => ({
  organisation,
  apiKey: exampleKey(organisation),
  class: className,
  perSecond,
  targetMs: spec.intent.classes[className]?.latestAnswerMs ?? 0,
});

const completion = (stream: boolean, tokens: [number, number]): LoadStream['work'] => ({
  kind: 'completion',
  model: 'lot-writer',
  stream,
  prefixes: 4,
  prefixCharacters: 512,
  tokens,
});

const streams = (spec: SiteSpec): LoadStream[] => [
  {
    ...streamOf(spec, 'rainier-remarketing', 'live-summary', 10),
    work: completion(true, [16, 64]),
  },
  { ...streamOf(spec, 'skagit-auto-group', 'live-summary', 5), work: completion(true, [16, 64]) },
  { ...streamOf(spec, 'ballard-motors', 'live-reply', 8), work: completion(false, [8, 24]) },
  { ...streamOf(spec, 'orchard-cars', 'lot-draft', 3), work: completion(true, [200, 400]) },
  {
    ...streamOf(spec, 'rainier-remarketing', 'bid-sheet-export', 15),
    duplicateShare: 0.3,
    work: { kind: 'service', path: '/exports', keyed: true },
  },
  {
    ...streamOf(spec, 'harbor-wholesale', 'title-check', 8),
    work: { kind: 'service', path: '/title-checks', keyed: false },
  },
  {
    ...streamOf(spec, 'cedar-river-autos', 'title-check', 8),
    duplicateShare: 0.3,
    work: { kind: 'service', path: '/title-checks', keyed: true },
  },
];

const isKeyed = ({ stream }: Arrival): boolean =>
  stream.work.kind === 'service' && stream.work.keyed;

/** Options of the load. */
export interface CallsOptions {
  spec: SiteSpec;
  seed: number;
  durationMs: number;
  pick: () => string;
}

/** Runs the load; a caller with a key tries again, with it, when it has no answer. */
export const runCalls = async (options: CallsOptions): Promise<FaultCall[]> => {
  const { spec, seed, durationMs, pick } = options;
  const sender = createSender(systemClock, CALLER_TIMEOUT_MS);
  const targets = new Map<number, string>();
  const calls: FaultCall[] = [];
  const retries: Promise<void>[] = [];

  const record = (target: string, result: CallResult): void => {
    const endedAt = performance.now();
    calls.push({ result, target, beganAt: endedAt - result.wholeUs / 1000, endedAt });
  };

  const retry = async (arrival: Arrival): Promise<void> => {
    for (let sends = 1; sends < MOST_SENDS; sends += 1) {
      await delay(RETRY_AFTER_MS);
      const target = pick();
      const result = await sender.send(target, arrival);
      record(target, result);
      if (result.outcome === 'answered') return;
    }
  };

  const load = startLoad({
    streams: streams(spec),
    seed,
    durationMs,
    timeoutMs: CALLER_TIMEOUT_MS,
    pickTarget: ({ index }) => {
      const target = pick();
      targets.set(index, target);
      return target;
    },
    onResult: (result) => {
      record(targets.get(result.arrival.index) ?? '', result);
      if (result.outcome !== 'answered' && isKeyed(result.arrival)) {
        retries.push(retry(result.arrival));
      }
    },
  });
  await load.finished;
  await Promise.all(retries);
  await sender.close();
  return calls;
};

/** An entry that leaves fails readiness for so long before it closes its door. */
const NOTICE_MS = 1_000;

/**
 * Kept from a caller by the end of its own entry, which no other process can make good. One that
 * leaves cuts nothing: only calls that are sent there after its notice, when the balancer has no
 * other entry, may find its door closed.
 */
const isExcused = (call: FaultCall, strikes: Strike[]): boolean =>
  strikes
    .filter(({ what }) => what === call.target)
    .some(({ kind, beganAt }) => {
      if (kind === 'entry-killed') return call.endedAt >= beganAt;
      return kind === 'entry-left' && call.beganAt >= beganAt + NOTICE_MS;
    });

const nameOf = ({ result, target, beganAt, endedAt }: FaultCall): string =>
  [
    result.arrival.key,
    result.arrival.stream.class,
    `${result.outcome}:${result.reason}`,
    `${Math.round(endedAt - beganAt)} ms`,
    target,
  ].join(' ');

/** A plain service that is out answers 503 itself; that answer is its own and whole. */
const isServicesOwn = ({ result }: FaultCall): boolean =>
  result.arrival.stream.work.kind === 'service' && result.reason === 'status-503';

/** Calls that ended with neither an answer nor a refusal, but for those of ended entries. */
export const withoutEnd = (calls: FaultCall[], strikes: Strike[]): string[] =>
  calls
    .filter(({ result }) => result.outcome === 'lost' || result.outcome === 'error')
    .filter((call) => !isExcused(call, strikes) && !isServicesOwn(call))
    .map(nameOf);

/** Calls that took longer than their target, their tokens and the bound allow. */
export const tooLate = (calls: FaultCall[], strikes: Strike[]): string[] =>
  calls
    .filter(({ result, target, beganAt, endedAt }) => {
      const { stream, maxTokens } = result.arrival;
      const frozenMs = strikes
        .filter(({ kind, what }) => kind === 'entry-frozen' && what === target)
        .reduce((sum, strike) => sum + strike.endedAt - strike.beganAt, 0);
      const boundMs = stream.targetMs + maxTokens * TOKEN_MS + OVERRUN_MS + frozenMs;
      return endedAt - beganAt > boundMs;
    })
    .map(nameOf);
