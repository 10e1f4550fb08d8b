import { createMetrics, createSeededRandom, sleep, systemClock } from '@plantaindrum/common';
import type { Random } from '@plantaindrum/common';
import type { Log } from '@plantaindrum/service-clients';
import { createLogClient } from '@plantaindrum/service-clients';
import type { Claims } from '@plantaindrum/requests';
import { createClaims } from '@plantaindrum/requests';
import { createLogStandIn } from '@plantaindrum/stand-ins';
import { percentile } from './routing-figures.js';
import type { ExperimentOptions } from './table.js';

/** Claims of several agents at one pace, over the log stand-in. */
interface ClaimsScenario {
  agents: number;
  partitions: number;
  claims: number;
  /** Pause between two claims of the whole fleet, in milliseconds; 0 sends all at once. */
  gapMs: number;
}

/** What the claims cost the log and the network. */
interface ClaimsFigures extends ClaimsScenario {
  appendsPerClaim: number;
  /** Body bytes appended for each claim: the claim itself and the end of its call. */
  bytesAppendedPerClaim: number;
  /** Body bytes that all agents together read for each claim. */
  bytesReadPerClaim: number;
  verdictMs: { p50: number; p95: number };
  verdicts: Record<string, number>;
}

interface Traffic {
  appends: number;
  appended: number;
  read: number;
}

const FLUSH_MS = 30_000;

const round = (value: number): number => Number(value.toFixed(2));

/** Counts calls and body bytes, in the shapes of the Kafka REST interface. */
const createCountingLog = (log: Log, traffic: Traffic): Log => ({
  append: (topic, partition, values) => {
    const body = { records: values.map((value) => ({ value })) };
    Object.assign(traffic, {
      appends: traffic.appends + 1,
      appended: traffic.appended + JSON.stringify(body).length,
    });
    return log.append(topic, partition, values);
  },
  read: async (topic, partition, offset, waitMs) => {
    const result = await log.read(topic, partition, offset, waitMs);
    const records = result.ok ? result.value : [];
    const body = records.map((record) => ({ topic, partition, key: null, ...record }));
    Object.assign(traffic, { read: traffic.read + JSON.stringify(body).length });
    return result;
  },
  offsets: (topic, partition) => log.offsets(topic, partition),
});

const uuid = (random: Random): string => {
  const hex = (length: number) =>
    Array.from({ length }, () => Math.floor(random() * 16).toString(16)).join('');
  const date = Date.now().toString(16).padStart(12, '0');
  return `${date.slice(0, 8)}-${date.slice(8)}-7${hex(3)}-8${hex(3)}-${hex(12)}`;
};

const runScenario = async (scenario: ClaimsScenario, seed: number): Promise<ClaimsFigures> => {
  const standIn = await createLogStandIn({});
  const client = createLogClient({ url: standIn.url, client: 'experiment' });
  const traffic: Traffic = { appends: 0, appended: 0, read: 0 };
  const random = createSeededRandom(seed);
  const agents = Array.from({ length: scenario.agents }, (_, n): Claims =>
    createClaims({
      clock: systemClock,
      log: createCountingLog(client, traffic),
      metrics: createMetrics(),
      instance: `${n}`.padStart(16, '0'),
      partitions: scenario.partitions,
    }),
  );
  const times: number[] = [];
  const verdicts: Record<string, number> = {};

  const claimOnce = async () => {
    const agent = agents[Math.floor(random() * agents.length)]!;
    const key = uuid(random);
    const since = systemClock.monotonic();
    const request = { organisation: 'org1', key, bodyHash: 'x'.repeat(43), budgetMs: 10_000 };
    const verdict = await agent.claim(request);
    times.push(systemClock.monotonic() - since);
    verdicts[verdict.verdict] = (verdicts[verdict.verdict] ?? 0) + 1;
    if (verdict.verdict === 'first') void agent.finish(verdict.claim, { status: 200 });
  };

  const running: Promise<void>[] = [];
  for (let n = 0; n < scenario.claims; n += 1) {
    running.push(claimOnce());
    if (scenario.gapMs > 0) await sleep(systemClock, scenario.gapMs);
  }
  await Promise.all(running);
  await Promise.all(agents.map((agent) => agent.flush(FLUSH_MS)));
  agents.forEach((agent) => agent.close());
  await client.close();
  await standIn.close();
  const sorted = Float64Array.from(times).sort();
  return {
    ...scenario,
    appendsPerClaim: round(traffic.appends / scenario.claims),
    bytesAppendedPerClaim: Math.round(traffic.appended / scenario.claims),
    bytesReadPerClaim: Math.round(traffic.read / scenario.claims),
    verdictMs: { p50: round(percentile(sorted, 0.5)), p95: round(percentile(sorted, 0.95)) },
    verdicts,
  };
};

/** Measures what claims on idempotency keys cost the log, by number of agents and partitions. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const claims = options.quick ? 50 : 400;
  const paced = [4, 64].flatMap((partitions) =>
    [1, 2, 4, 8, 16].map((agents) => ({ agents, partitions, claims, gapMs: 10 })),
  );
  const burst = { agents: 1, partitions: 4, claims: 5 * claims, gapMs: 0 };
  const scenarios: ClaimsFigures[] = [];
  for (const scenario of [...paced, burst]) {
    const figures = await runScenario(scenario, options.seed);
    options.print(JSON.stringify(figures));
    scenarios.push(figures);
  }
  return { experiment: 'claims', seed: options.seed, scenarios };
};
