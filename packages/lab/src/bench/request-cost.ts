/** Processor time of an entry for a plain request, against a pass-through before the same server. */

import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import { startChild } from '../harness/child.js';
import { usedMs } from '../harness/used-time.js';
import { startCallers } from '../soak/callers.js';
import { SOAK_PORTS, startWorld } from '../soak/world.js';
import type { Vm } from '../soak/world.js';
import type { UnitCost } from './unit-costs.js';

const SIZE = { entries: 1, ranks: 1, books: 1, sets: 2, experts: 12, passMs: 25 };
const PASS_THROUGH = 'packages/lab/dist/bench/pass-through.js';
const KEY = 'key-a';
const BOOK = 'book-0';
/** Requests before the count begins: compiled code counts, compiling does not. */
const WARM_UP = 600;
const COUNTED = 2_000;
const AT_ONCE = 4;
const TRY_MS = 100;
const MOST_TRIES = 100;

const askMany = async (count: number, ask: () => Promise<{ status: number }>): Promise<void> => {
  const askInTurn = async (): Promise<void> => {
    for (let n = 0; n < count / AT_ONCE; n += 1) {
      const { status } = await ask();
      if (status !== 200) throw new Error(`a request was answered ${status}`);
    }
  };
  await Promise.all(Array.from({ length: AT_ONCE }, askInTurn));
};

/** The entry serves once it knows the intent and the servers. */
const untilServed = async (ask: () => Promise<{ status: number }>): Promise<void> => {
  for (let tries = 0; (await ask()).status !== 200; tries += 1) {
    if (tries > MOST_TRIES) throw new Error('the entry serves nothing');
    await delay(TRY_MS);
  }
};

/** Milliseconds of a process for one request. */
const costAt = async (pid: number, ask: () => Promise<{ status: number }>): Promise<number> => {
  await askMany(WARM_UP, ask);
  const before = await usedMs(pid);
  await askMany(COUNTED, ask);
  return ((await usedMs(pid)) - before) / COUNTED;
};

/** Plays the same requests through both. */
export const measureRequestCost = async (seed: number): Promise<UnitCost> => {
  const site = await startWorld(SIZE);
  const [entry] = site.vms;
  if (!entry) throw new Error('no entry');
  const passIp = entry.ip.replace(/\d+$/, '200');
  const bookIp = entry.ip.replace(/\d+\.\d+$/, '3.1');
  const args = [passIp, `${SOAK_PORTS.callers}`, bookIp, `${SOAK_PORTS.engine}`, BOOK];
  const pass = await startChild({ name: 'pass-through', script: PASS_THROUGH, args });
  const callers = startCallers(site, createSeededRandom(seed), 1, [KEY]);
  try {
    const asAt = (ip: string): Vm => ({ ...entry, ip });
    await untilServed(() => callers.sendCall(entry, 'safe', KEY));
    const cost = await costAt(entry.child.pid, () => callers.sendCall(entry, 'safe', KEY));
    const plain = await costAt(pass.pid, () => callers.sendCall(asAt(passIp), 'safe', KEY));
    return { name: 'a plain request at an entry', against: 'a pass-through', ratio: cost / plain };
  } finally {
    await callers.stop();
    await pass.stop();
    await site.close();
  }
};
