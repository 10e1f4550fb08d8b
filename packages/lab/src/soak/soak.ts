/** One seeded soak: callers under faults, then recovery, then the checks. */

import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import { startCallers } from './callers.js';
import type { Callers } from './callers.js';
import { findServedRevokedKeys, findSoakViolations } from './checks.js';
import type { Violation } from './checks.js';
import { findCrashViolations } from './crash-check.js';
import { findEvacuationViolations } from './evacuation-check.js';
import { startFaults } from './faults.js';
import { findLimitViolations } from './limit-check.js';
import { findLostVersionViolations } from './lost-version.js';
import { findRetryViolations } from './retry-check.js';
import type { ServiceTraffic } from './retry-check.js';
import { MAX_RETRY_ALLOWANCE, startSoakSite } from './soak-site.js';
import type { SoakSite, SoakSiteSize } from './soak-site.js';

/** Options of `runSoak`. */
export interface SoakOptions {
  seed: number;
  /** How long faults are injected. */
  lengthMs: number;
  /** Size of the site; small by default. */
  size?: SoakSiteSize;
  print: (line: string) => void;
}

/** Result of a soak. */
export interface SoakResult {
  violations: Violation[];
  calls: number;
  answered: number;
  faults: number;
  mapChanges: number;
}

const CALLS_PER_SECOND = 40;
/** Calls a second while servers lose answers: enough failures to use up the limit on retries. */
const BURST_PER_SECOND = 160;
const FAULT_EVERY_MS = 900;
/** Fraction of the soak's length after which a key is revoked. */
const REVOKE_AT_FRACTION = 0.4;
/** Fraction of the soak's length after which one server advertises a rate limit, in requests a second. */
const LIMIT_AT_FRACTION = 0.15;
const LIMIT_PER_S = 1;
/** Part of the soak in which a data centre is evacuated; kills in a row and a restore of the store fall into it. */
const EVACUATED = { fromFraction: 0.4, fraction: 0.5 };
/** Time for the programs to connect at the start, and to recover after the last fault. */
const STARTUP_MS = 2_500;
const RECOVERY_TIMEOUT_MS = 8_000;
/** Part of the soak in which servers lose most answers, and how often all entries are killed in it. */
const LOST_ANSWERS_TIME_FRACTION = 0.7;
const KILLS_IN_A_ROW = 3;
/** The operators' limit on retries, at its highest: settings are changed during a soak. */
const RETRY_LIMIT = { ratio: 0.2, windowMs: 10_000, allowance: MAX_RETRY_ALLOWANCE };
/** Fraction of the calls with a prompt on which servers crash. */
const HARMFUL_FRACTION = 0.15;
/** Fraction of the calls that go to one entry for a part of the soak. */
const HOT_FRACTION = 0.85;
/** Fraction of the answers that end with their connection. */
const UNFRAMED_FRACTION = 0.25;
/** Fraction of the answers that never end, while answers are spoiled. */
const ENDLESS_FRACTION = 0.02;
/** Part of the soak in which answers are spoiled. */
const SPOILED = { fromFraction: 0.1, fraction: 0.7 };
const KEPT_KEY = 'key-a';
const REVOKED_KEY = 'key-b';
/** Revoked by the last change, after the store was restored from an older copy. */
const LAST_REVOKED_KEY = 'key-c';

/** Calls that show that an entry doesn't serve each kind of call yet, or doesn't refuse the revoked keys. */
const findUnrecovered = async (site: SoakSite, callers: Callers): Promise<string[]> => {
  const entries = site.vms.filter(({ role }) => role === 'entry');
  const pendingCalls = entries.flatMap((vm) =>
    (['safe', 'once', 'gen'] as const).map((kind) => callers.sendCall(vm, kind, KEPT_KEY)),
  );
  const unserved = (await Promise.all(pendingCalls)).filter(
    ({ status, isWhole }) => status !== 200 || !isWhole,
  );
  const revoked = await Promise.all(
    entries.flatMap((vm) =>
      [REVOKED_KEY, LAST_REVOKED_KEY].map((key) => callers.sendCall(vm, 'safe', key)),
    ),
  );
  return [...unserved, ...revoked.filter(({ status }) => status !== 401)].map(
    ({ kind, entry, key, status, body }) =>
      `${kind} at ${entry}, ${key}: ${status} ${body.slice(0, 40).trim()}`,
  );
};

const findRecoveryViolations = async (site: SoakSite, callers: Callers): Promise<Violation[]> => {
  const endAt = performance.now() + RECOVERY_TIMEOUT_MS;
  let unrecovered: string[] = [];
  while (performance.now() < endAt) {
    unrecovered = await findUnrecovered(site, callers);
    if (unrecovered.length === 0) return [];
    await delay(200);
  }
  const guarantee = 'serves again after the faults, with the current intent';
  const details = `not within ${RECOVERY_TIMEOUT_MS} ms, at last ${unrecovered.join('; ')}`;
  return [{ guarantee, details }];
};

const trafficOf = (
  site: SoakSite,
  { calls }: Callers,
  service: 'book' | 'llm',
): ServiceTraffic => ({
  service,
  arrivals: site.services[service].flatMap(({ arrivals }) => arrivals),
  requestsAt: calls
    .filter(({ kind }) => (kind === 'gen') === (service === 'llm'))
    .map(({ sentAt }) => sentAt),
});

/** Runs one soak. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, lengthMs, print } = options;
  const site = await startSoakSite(options.size);
  try {
    await delay(STARTUP_MS);
    const keys = [KEPT_KEY, REVOKED_KEY];
    const unframedRandom = createSeededRandom(seed + 2);
    const callers = startCallers(site, createSeededRandom(seed), CALLS_PER_SECOND, keys);
    site.servers.forEach((server) =>
      server.omitFraming(() => unframedRandom() < UNFRAMED_FRACTION),
    );
    const faults = startFaults(site, createSeededRandom(seed + 1), FAULT_EVERY_MS);
    const spoiling = delay(lengthMs * SPOILED.fromFraction).then(() =>
      faults.spoilAnswers(
        lengthMs * SPOILED.fraction,
        ENDLESS_FRACTION,
        createSeededRandom(seed + 3),
      ),
    );
    const killsInARow = (async (): Promise<void> => {
      callers.setRate(BURST_PER_SECOND);
      const lost = faults.loseAnswers(lengthMs * LOST_ANSWERS_TIME_FRACTION);
      for (let kills = 0; kills < KILLS_IN_A_ROW; kills += 1) {
        await delay((lengthMs * LOST_ANSWERS_TIME_FRACTION) / (KILLS_IN_A_ROW + 1));
        await faults.killEntries();
      }
      await lost;
      callers.setRate(CALLS_PER_SECOND);
    })();
    callers.setHarmfulFraction(HARMFUL_FRACTION);
    const evacuation = delay(lengthMs * EVACUATED.fromFraction).then(() =>
      faults.evacuate(lengthMs * EVACUATED.fraction),
    );
    await delay(lengthMs * LIMIT_AT_FRACTION);
    callers.setHotFraction(HOT_FRACTION);
    const advertisedAt = performance.now();
    site.limitedServer.advertiseLimit(LIMIT_PER_S);
    await delay(lengthMs * (REVOKE_AT_FRACTION - LIMIT_AT_FRACTION));
    callers.setHotFraction(0);
    site.putIntent(2, [KEPT_KEY, LAST_REVOKED_KEY]);
    // The store may return an old version again, which the programs must not apply.
    await delay(lengthMs * (1 - REVOKE_AT_FRACTION) * 0.5);
    site.putIntent(1, [KEPT_KEY, REVOKED_KEY, LAST_REVOKED_KEY]);
    const restored = faults.restoreStore();
    await delay(lengthMs * (1 - REVOKE_AT_FRACTION) * 0.5);
    await restored;
    site.putIntent(3, [KEPT_KEY]);
    await killsInARow;
    await spoiling;
    const evacuated = await evacuation;
    callers.setHarmfulFraction(0);
    await faults.stop();
    const recoveryViolations = await findRecoveryViolations(site, callers);
    const versions = { firstVersion: 4, keptKey: KEPT_KEY };
    const lostVersionViolations = await findLostVersionViolations(site, callers, faults, versions);
    await callers.stop();
    const violations = [
      ...findSoakViolations(site, callers.calls, faults.injected),
      ...findLimitViolations(
        { arrivals: site.limitedServer.arrivals, limitPerS: LIMIT_PER_S, advertisedAt },
        callers.calls,
        faults.injected,
      ),
      ...findCrashViolations(
        {
          arrivals: site.servers.flatMap(({ arrivals }) => arrivals),
          crashes: site.servers.flatMap(({ crashes }) => crashes),
        },
        callers.calls,
        faults.injected,
      ),
      ...findEvacuationViolations(
        {
          arrivals: site.evacuableServers.flatMap(({ arrivals }) => arrivals),
          ...evacuated,
        },
        callers.calls,
        faults.injected,
      ),
      ...findServedRevokedKeys(callers.calls, REVOKED_KEY),
      ...findRetryViolations(trafficOf(site, callers, 'book'), RETRY_LIMIT),
      ...findRetryViolations(trafficOf(site, callers, 'llm'), RETRY_LIMIT),
      ...recoveryViolations,
      ...lostVersionViolations,
    ];
    violations.forEach(({ guarantee, details }) => print(`  violated: ${guarantee}: ${details}`));
    if (violations.length > 0) {
      faults.injected.forEach((fault) => print(`  fault ${JSON.stringify(fault)}`));
    }
    return {
      violations,
      calls: callers.calls.length,
      answered: callers.calls.filter(({ status }) => status === 200).length,
      faults: faults.injected.length,
      mapChanges: site.group.ranks[0]?.map ?? 0,
    };
  } finally {
    await site.close();
  }
};
