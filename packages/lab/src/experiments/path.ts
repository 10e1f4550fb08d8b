import type { CallResult, CallSpec } from '../harness/caller.js';
import { call } from '../harness/caller.js';
import { startSite } from '../harness/site.js';
import type { Site } from '../harness/site-types.js';
import { smallSite } from '../harness/small-site.js';
import { median, percentile, round } from '../harness/statistics.js';
import { completion, exampleKey } from '../harness/traffic.js';
import type { ExperimentOptions } from './table.js';

/** Where a call goes: straight to the stand-in, or through entry and agent. */
type Way = 'direct' | 'through';

const WAYS: Way[] = ['direct', 'through'];
const KEY = exampleKey('duna-digital');
const CONCURRENCY = 32;

type MakeCall = (way: Way, n: number) => CallSpec;

const expectAnswer = (result: CallResult): CallResult => {
  if (result.outcome === 'answered') return result;
  throw new Error(`a call was ${result.outcome} (${result.reason || result.status})`);
};

const pingCall =
  (site: Site): MakeCall =>
  (way, n) => ({
    url: way === 'direct' ? site.upstream('pipeline-1').url : site.entry(0).url,
    path: `/pings/${way}-${n}`,
    key: KEY,
  });

const streamCall =
  (site: Site): MakeCall =>
  (way, n) => ({
    url: way === 'direct' ? site.upstream('visual-reviewer-csepel-1').url : site.entry(0).url,
    key: KEY,
    ...completion({
      model: 'visual-reviewer',
      prompt: `verdict ${n}`,
      maxTokens: 16,
      stream: true,
    }),
  });

/** Milliseconds from the call to its whole answer. */
const wholeAnswer = async (spec: CallSpec): Promise<number> =>
  expectAnswer(await call(spec)).totalMs;

/** Milliseconds from the call to its first token; headers alone are no answer. */
const firstToken = async (spec: CallSpec): Promise<number> => {
  const begun = performance.now();
  let first: number | undefined;
  const onEvent = (): void => {
    first ??= performance.now() - begun;
  };
  expectAnswer(await call({ ...spec, onEvent }));
  return first ?? Infinity;
};

/** One call after the other, both ways in turn, so that the machine's noise falls on both. */
const latencies = async (
  make: MakeCall,
  count: number,
  measure: (spec: CallSpec) => Promise<number>,
): Promise<Record<Way, number[]>> => {
  const times: Record<Way, number[]> = { direct: [], through: [] };
  for (let n = 0; n < count; n += 1) {
    for (const way of WAYS) {
      times[way].push(await measure(make(way, n)));
    }
  }
  return times;
};

const requestsPerSecond = async (make: MakeCall, way: Way, durationMs: number): Promise<number> => {
  const begun = performance.now();
  let done = 0;
  const worker = async (): Promise<void> => {
    while (performance.now() - begun < durationMs) {
      expectAnswer(await call(make(way, done)));
      done += 1;
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
  return (done * 1000) / (performance.now() - begun);
};

const rates = async (make: MakeCall, rounds: number, durationMs: number) => {
  const measured: Record<Way, number[]> = { direct: [], through: [] };
  for (let done = 0; done < rounds; done += 1) {
    for (const way of WAYS) measured[way].push(await requestsPerSecond(make, way, durationMs));
  }
  return measured;
};

const compared = (times: Record<Way, number[]>) => ({
  directP50Ms: round(median(times.direct)),
  throughP50Ms: round(median(times.through)),
  addedP50Ms: round(median(times.through) - median(times.direct)),
  directP99Ms: round(percentile(times.direct, 0.99)),
  throughP99Ms: round(percentile(times.through, 0.99)),
});

/**
 * The cost of the path: a caller through entry and agent against one that talks to the stand-in
 * itself, in one run; a plain call (no service time), a stream, and calls a second.
 */
export const run = async ({ quick, print }: ExperimentOptions) => {
  const spec = smallSite('magyar-vizualis');
  const services = spec.services.map((service) => ({
    ...service,
    flags: { 'service-time-ms': 0 },
  }));
  const site = await startSite({ ...spec, services });
  try {
    const pings = pingCall(site);
    const streams = streamCall(site);
    const count = quick ? 50 : 1000;
    await latencies(pings, quick ? 10 : 200, wholeAnswer);
    const plain = compared(await latencies(pings, count, wholeAnswer));
    print(`plain call: ${JSON.stringify(plain)}`);
    const stream = compared(await latencies(streams, quick ? 5 : 60, firstToken));
    print(`first token of a stream: ${JSON.stringify(stream)}`);
    const measured = await rates(pings, quick ? 1 : 5, quick ? 200 : 1000);
    const throughput = {
      concurrency: CONCURRENCY,
      directPerSecond: Math.round(median(measured.direct)),
      throughPerSecond: Math.round(median(measured.through)),
      ratio: round(median(measured.through) / median(measured.direct), 3),
    };
    print(`calls a second: ${JSON.stringify(throughput)}`);
    return { plain, streamFirstToken: stream, throughput };
  } finally {
    await site.close();
  }
};
