/** The store loses a version that it had acknowledged, while all entries are killed. */

import { setTimeout as delay } from 'node:timers/promises';
import type { Callers } from './callers.js';
import type { Violation } from './checks.js';
import type { Faults } from './faults.js';
import type { SoakSite } from './soak-site.js';

/** Time within which a version is in force everywhere, and known to the agents that mirror the intent, in ms. */
const PROPAGATION_MS = 4_000;
/** Time after their start from which entries have all accepted versions in force, in ms. */
const STABILITY_MS = 3_000;
/** Valid in the version that the store's older copy has, revoked by the one that it loses. */
const REVOKED_KEY = 'key-d';

/** Plays the fault, and finds entries that serve the key that the lost version revoked. */
export const findLostVersionViolations = async (
  site: SoakSite,
  callers: Callers,
  faults: Faults,
  versions: { firstVersion: number; keptKey: string },
): Promise<Violation[]> => {
  const { firstVersion, keptKey } = versions;
  site.putIntent(firstVersion, [keptKey, REVOKED_KEY]);
  site.store.takeBackup();
  site.putIntent(firstVersion + 1, [keptKey]);
  await delay(PROPAGATION_MS);
  const killed = faults.killEntries();
  site.store.restoreBackup();
  await killed;
  await delay(STABILITY_MS);
  const entries = site.vms.filter(({ role }) => role === 'entry');
  const calls = await Promise.all(entries.map((vm) => callers.sendCall(vm, 'safe', REVOKED_KEY)));
  return calls
    .filter(({ status }) => status !== 401)
    .map(({ entry, status }) => ({
      guarantee: 'a version that the store has lost stays in force',
      details: `${entry}: ${status}`,
    }));
};
