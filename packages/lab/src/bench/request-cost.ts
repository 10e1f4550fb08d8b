/** CPU time of an entry for a plain request, relative to a pass-through proxy to the same server. */

import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import { startChild } from '../harness/child.js';
import { readCpuTimeMs } from '../harness/cpu-time.js';
import { startCallers } from '../soak/callers.js';
import { SOAK_PORTS, startSoakSite } from '../soak/soak-site.js';
import type { Vm } from '../soak/soak-site.js';
import type { UnitCost } from './unit-costs.js';

const SIZE = { entries: 1, ranks: 1, plainServers: 1, sets: 2, experts: 12, passMs: 25 };
const PASS_THROUGH = 'packages/lab/dist/bench/pass-through.js';
const KEY = 'key-a';
const SERVER_INSTANCE = 'book-0';
/** Requests before the measurement, so that it doesn't include JIT compilation. */
const WARM_UP_REQUESTS = 600;
const MEASURED_REQUESTS = 2_000;
const CONCURRENCY = 4;
const RETRY_DELAY_MS = 100;
const MAX_TRIES = 100;

const sendCalls = async (
  count: number,
  sendCall: () => Promise<{ status: number }>,
): Promise<void> => {
  const sendSequentially = async (): Promise<void> => {
    for (let n = 0; n < count / CONCURRENCY; n += 1) {
      const { status } = await sendCall();
      if (status !== 200) throw new Error(`a request got status ${status}`);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, sendSequentially));
};

/** Waits until the entry has received the intent and the server records and serves a call. */
const waitUntilServed = async (sendCall: () => Promise<{ status: number }>): Promise<void> => {
  for (let tries = 0; (await sendCall()).status !== 200; tries += 1) {
    if (tries > MAX_TRIES) throw new Error('the entry serves no calls');
    await delay(RETRY_DELAY_MS);
  }
};

/** Measures the CPU time of a process for one request, in ms. */
const measureCpuMsPerRequest = async (
  pid: number,
  sendCall: () => Promise<{ status: number }>,
): Promise<number> => {
  await sendCalls(WARM_UP_REQUESTS, sendCall);
  const before = await readCpuTimeMs(pid);
  await sendCalls(MEASURED_REQUESTS, sendCall);
  return ((await readCpuTimeMs(pid)) - before) / MEASURED_REQUESTS;
};

/** Sends the same requests through an entry and through the pass-through. */
export const measureRequestCost = async (seed: number): Promise<UnitCost> => {
  const site = await startSoakSite(SIZE);
  const [entry] = site.vms;
  if (!entry) throw new Error('no entry');
  const passIp = entry.ip.replace(/\d+$/, '200');
  const serverIp = entry.ip.replace(/\d+\.\d+$/, '3.1');
  const args = [passIp, `${SOAK_PORTS.callers}`, serverIp, `${SOAK_PORTS.engine}`, SERVER_INSTANCE];
  const passThrough = await startChild({ name: 'pass-through', script: PASS_THROUGH, args });
  const callers = startCallers(site, createSeededRandom(seed), 1, [KEY]);
  try {
    const vmAt = (ip: string): Vm => ({ ...entry, ip });
    await waitUntilServed(() => callers.sendCall(entry, 'safe', KEY));
    const cost = await measureCpuMsPerRequest(entry.child.pid, () =>
      callers.sendCall(entry, 'safe', KEY),
    );
    const passThroughCost = await measureCpuMsPerRequest(passThrough.pid, () =>
      callers.sendCall(vmAt(passIp), 'safe', KEY),
    );
    return {
      name: 'a plain request at an entry',
      against: 'a pass-through',
      ratio: cost / passThroughCost,
    };
  } finally {
    await callers.stop();
    await passThrough.stop();
    await site.close();
  }
};
