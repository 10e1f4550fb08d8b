/** One seeded soak: callers and faults at once, then healing, then the checks. */

import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import { startCallers } from './callers.js';
import type { Callers } from './callers.js';
import { findReturnedKeys, findSoakViolations } from './checks.js';
import type { Violation } from './checks.js';
import { startFaults } from './faults.js';
import { findLimitViolations } from './limit-check.js';
import { startWorld } from './world.js';
import type { World } from './world.js';

/** Options of `runSoak`. */
export interface SoakOptions {
  seed: number;
  /** How long faults are played, in milliseconds. */
  lengthMs: number;
  print: (line: string) => void;
}

/** What a soak came to. */
export interface SoakResult {
  violations: Violation[];
  calls: number;
  answered: number;
  faults: number;
  mapChanges: number;
}

const CALLS_PER_SECOND = 40;
const FAULT_EVERY_MS = 900;
/** Part of the way at which a key is taken away. */
const REVOKE_AT = 0.4;
/** Part of the way at which one server advertises a rate limit, in requests a second. */
const LIMIT_AT = 0.15;
const LIMIT_PER_S = 1;
/** Time for the programs to link up, and to be whole again after the last fault, in ms. */
const SETTLE_MS = 2_500;
const HEALED_WITHIN_MS = 8_000;
const KEPT_KEY = 'key-a';
const REVOKED_KEY = 'key-b';
/** Taken away by the last change, after the store has come back from an older copy. */
const LAST_REVOKED_KEY = 'key-c';

/** Whether every entry serves each kind of call again, and none a key that was taken away. */
const isHealed = async (world: World, callers: Callers): Promise<boolean> => {
  const entries = world.vms.filter(({ role }) => role === 'entry');
  const asked = entries.flatMap((vm) =>
    (['safe', 'once', 'gen'] as const).map((kind) => callers.ask(vm, kind, KEPT_KEY)),
  );
  const served = (await Promise.all(asked)).every(
    ({ status, isWhole }) => status === 200 && isWhole,
  );
  const revoked = await Promise.all(
    entries.flatMap((vm) =>
      [REVOKED_KEY, LAST_REVOKED_KEY].map((key) => callers.ask(vm, 'safe', key)),
    ),
  );
  return served && revoked.every(({ status }) => status === 401);
};

const healingViolations = async (world: World, callers: Callers): Promise<Violation[]> => {
  const endAt = performance.now() + HEALED_WITHIN_MS;
  while (performance.now() < endAt) {
    if (await isHealed(world, callers)) return [];
    await delay(200);
  }
  const promise = 'serves again after the faults, by the intent in force';
  return [{ promise, what: `not within ${HEALED_WITHIN_MS} ms` }];
};

/** Plays one soak. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, lengthMs, print } = options;
  const world = await startWorld();
  try {
    await delay(SETTLE_MS);
    const keys = [KEPT_KEY, REVOKED_KEY];
    const callers = startCallers(world, createSeededRandom(seed), CALLS_PER_SECOND, keys);
    const faults = startFaults(world, createSeededRandom(seed + 1), FAULT_EVERY_MS);
    await delay(lengthMs * LIMIT_AT);
    const advertisedAt = performance.now();
    world.limited.advertiseLimit(LIMIT_PER_S);
    await delay(lengthMs * (REVOKE_AT - LIMIT_AT));
    world.putIntent(2, [KEPT_KEY, LAST_REVOKED_KEY]);
    // The store may hand an old version out again; it must not come into force.
    await delay(lengthMs * (1 - REVOKE_AT) * 0.5);
    world.putIntent(1, [KEPT_KEY, REVOKED_KEY, LAST_REVOKED_KEY]);
    const restored = faults.restoreStore();
    await delay(lengthMs * (1 - REVOKE_AT) * 0.5);
    await restored;
    world.putIntent(3, [KEPT_KEY]);
    await faults.stop();
    const unhealed = await healingViolations(world, callers);
    await callers.stop();
    const violations = [
      ...findSoakViolations(world, callers.calls, faults.played),
      ...findLimitViolations(
        { arrivals: world.limited.arrivals, limitPerS: LIMIT_PER_S, advertisedAt },
        callers.calls,
        faults.played,
      ),
      ...findReturnedKeys(callers.calls, REVOKED_KEY),
      ...unhealed,
    ];
    violations.forEach(({ promise, what }) => print(`  broken: ${promise}: ${what}`));
    if (violations.length > 0) {
      faults.played.forEach((fault) => print(`  fault ${JSON.stringify(fault)}`));
    }
    return {
      violations,
      calls: callers.calls.length,
      answered: callers.calls.filter(({ status }) => status === 200).length,
      faults: faults.played.length,
      mapChanges: world.group.ranks[0]?.map ?? 0,
    };
  } finally {
    await world.close();
  }
};
