/**
 * What the processes of a site spend processor time on: the programs of the platform as processes, before stand-ins of
 * the store and of the servers, profiled by the runtime. A table by role and cause.
 */

import { mkdtemp, readdir, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import { readCpuTimeMs } from '../harness/cpu-time.js';
import { startCallers } from '../soak/callers.js';
import { startSoakSite } from '../soak/soak-site.js';
import type { Vm, SoakSiteSize } from '../soak/soak-site.js';
import { CAUSES, readProfile, timeByCause } from './processor-time/profile.js';
import type { Cause, ProfileSpan } from './processor-time/profile.js';
import type { ExperimentOptions } from './table.js';

/** What one role used, over all its processes. */
export interface RoleTime {
  role: Vm['role'];
  processes: number;
  /** What the kernel counted during the load, in ms. */
  usedMs: number;
  /** The same as a part of a core, for one process over the time of the load. */
  coreShare: number;
  /** Samples of the profiles in that time, in ms by cause; while a process waits for a processor they count as well. */
  causes: Partial<Record<Cause, number>>;
  /** All samples over what the kernel counted: 1 on a machine with processors to spare. */
  sampledShare: number;
}

interface Load {
  size: SoakSiteSize;
  callsPerS: number;
  lengthMs: number;
}

const LOADS: Readonly<Record<'whole' | 'quick', Load>> = {
  whole: {
    size: { entries: 13, ranks: 63, plainServers: 4, sets: 8, experts: 252, passMs: 25 },
    callsPerS: 180,
    lengthMs: 20_000,
  },
  quick: {
    size: { entries: 4, ranks: 16, plainServers: 3, sets: 4, experts: 64, passMs: 25 },
    callsPerS: 50,
    lengthMs: 5_000,
  },
};

/** Time for all to be linked before callers come, in ms. */
const SETTLE_MS = 3_000;
/** Time for a program to write its profile and end, in ms. */
const END_MS = 15_000;
/** Place of the process id among the fields of a profile's name. */
const PID_FIELD = 3;

const sum = (values: readonly number[]): number => values.reduce((total, each) => total + each, 0);

const causesIn = async (
  folder: string,
  spanOf: (pid: number) => ProfileSpan,
): Promise<Partial<Record<Cause, number>>> => {
  const names = (await readdir(folder)).filter((name) => name.endsWith('.cpuprofile'));
  const causes: Partial<Record<Cause, number>> = {};
  for (const name of names) {
    const pid = Number(name.split('.')[PID_FIELD]);
    timeByCause(await readProfile(join(folder, name)), spanOf(pid)).forEach((ms, cause) => {
      causes[cause] = (causes[cause] ?? 0) + ms;
    });
  }
  return causes;
};

const play = async (load: Load, folder: string, seed: number): Promise<RoleTime[]> => {
  const profileArgs = (vm: Pick<Vm, 'role'>): string[] => [
    '--cpu-prof',
    `--cpu-prof-dir=${join(folder, vm.role)}`,
  ];
  const world = await startSoakSite(load.size, profileArgs);
  try {
    await delay(SETTLE_MS);
    const usedByAll = (): Promise<number[]> =>
      Promise.all(world.vms.map(({ child }) => readCpuTimeMs(child.pid)));
    const usedBefore = await usedByAll();
    const beganAt = performance.now();
    const callers = startCallers(world, createSeededRandom(seed), load.callsPerS, ['key-a']);
    await delay(load.lengthMs);
    await callers.stop();
    const usedAfter = await usedByAll();
    const elapsedMs = performance.now() - beganAt;
    const stopMs = new Map<number, number>();
    const endedAt = performance.now();
    const stop = async ({ child }: Vm): Promise<void> => {
      await child.stop(END_MS);
      stopMs.set(child.pid, performance.now() - endedAt);
    };
    await Promise.all(world.vms.map(stop));
    const spanOf = (pid: number): ProfileSpan => {
      const toMs = stopMs.get(pid) ?? 0;
      return { fromMs: toMs + elapsedMs, toMs };
    };
    const used = world.vms.map(({ role }, at) => ({
      role,
      ms: (usedAfter[at] ?? 0) - (usedBefore[at] ?? 0),
    }));
    return await Promise.all(
      (['entry', 'agent'] as const).map(async (role) => {
        const times = used.filter((each) => each.role === role).map(({ ms }) => ms);
        const causes = await causesIn(join(folder, role), spanOf);
        const total = sum(times);
        return {
          role,
          processes: times.length,
          usedMs: total,
          coreShare: total / times.length / elapsedMs,
          causes,
          sampledShare: sum(Object.values(causes)) / total,
        };
      }),
    );
  } finally {
    await world.close();
  }
};

/** Runs the programs under load and prints what their processor time went to. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const { quick, seed, print } = options;
  const folder = await mkdtemp(join(tmpdir(), 'plantaindrum-profiles-'));
  try {
    const roles = await play(LOADS[quick ? 'quick' : 'whole'], folder, seed);
    roles.forEach(({ role, processes, usedMs: used, coreShare, causes, sampledShare }) => {
      const core = `${(coreShare * 100).toFixed(1)} % of a core each`;
      print(
        `${role}: ${processes} processes, ${used} ms, ${core}, sampled ${sampledShare.toFixed(2)}`,
      );
      CAUSES.forEach((cause) => {
        const ms = causes[cause] ?? 0;
        print(
          `  ${cause.padEnd(32)} ${ms.toFixed(0).padStart(8)} ms ${((100 * ms) / used).toFixed(1).padStart(6)} %`,
        );
      });
    });
    return { roles };
  } finally {
    await rm(folder, { recursive: true });
  }
};
