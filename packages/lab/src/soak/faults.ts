/** Random faults of the soak, drawn by a seed; several may overlap. */

import { setTimeout as delay } from 'node:timers/promises';
import type { Random } from '@plantaindrum/common';
import { ENDLESS_ANSWERS } from '@plantaindrum/stand-ins';
import type { StoreMode } from '@plantaindrum/stand-ins';
import { MAX_RETRY_ALLOWANCE } from './soak-site.js';
import type { Vm, SoakSite } from './soak-site.js';

/** A fault that was injected, for the report of a violation. */
export interface InjectedFault {
  what: string;
  on: string;
  /** Which start of the program was affected, from 1; 0 for the store. */
  boot: number;
  fromMs: number;
  toMs: number;
}

/** Running fault injection. */
export interface Faults {
  injected: readonly InjectedFault[];
  /** Restores the store from an older copy now, in addition to the random faults. */
  restoreStore(): Promise<void>;
  /** Kills all entries at once that no other fault affects; each starts again after a random delay. */
  killEntries(): Promise<void>;
  /** Has the servers lose most answers for this time, in ms. */
  loseAnswers(forMs: number): Promise<void>;
  /** Has the servers answer a fraction of the requests and calls without end for this time, in ms. */
  spoilAnswers(forMs: number, fraction: number, draw: Random): Promise<void>;
  /** Evacuates a data centre for this time, in ms; returns when that began and ended (monotonic, ms). */
  evacuate(forMs: number): Promise<{ fromMs: number; toMs: number }>;
  /** Starts no more faults and waits until the pending ones are over. */
  stop(): Promise<void>;
}

/** Limits on retries that the operators set, in retries that are allowed in addition to a share of the requests. */
const MIN_RETRY_ALLOWANCE = 10;

type FaultAction = (vm: Vm, random: Random, site: SoakSite) => Promise<void>;

const drawBetween = (random: Random, min: number, max: number): number =>
  min + random() * (max - min);

const restartAfterDelay = async (vm: Vm, random: Random, site: SoakSite): Promise<void> => {
  await vm.child.exited;
  await delay(drawBetween(random, 100, 1_200));
  await site.restart(vm);
};

/** Faults of a program's process, by name. */
const processFaults: Readonly<Record<string, FaultAction>> = {
  kill: async (vm, random, site) => {
    vm.child.signal('SIGKILL');
    await restartAfterDelay(vm, random, site);
  },
  'planned-stop': async (vm, random, site) => {
    vm.child.signal('SIGTERM');
    await restartAfterDelay(vm, random, site);
  },
  freeze: async (vm, random) => {
    vm.child.signal('SIGSTOP');
    await delay(drawBetween(random, 300, 3_500));
    vm.child.signal('SIGCONT');
  },
  'settings-changed': async (vm, random, site) => {
    const allowance = drawBetween(random, MIN_RETRY_ALLOWANCE, MAX_RETRY_ALLOWANCE);
    await site.changeSettings(vm, Math.round(allowance));
    if (random() < 0.5) vm.child.signal('SIGHUP');
    await delay(100);
  },
};

/** Probability that a fault of the store restores it from an older copy. */
const RESTORE_PROBABILITY = 0.3;

/** Probability that another fault of the store silences its open connections. */
const SILENCE_PROBABILITY = 0.25;

const STORE_MODES: readonly StoreMode[] = ['busy', 'silent', 'losing-answers'];

/** Writes that a restore loses, so that later writes get offsets that were assigned before. */
const LOST_WRITES = 3;

/** Restores the store from an older copy; operators and servers then repeat their latest writes. */
const restoreStore = async (site: SoakSite, random: Random): Promise<string> => {
  site.store.takeBackup();
  for (let n = 0; n < LOST_WRITES; n += 1) site.rewriteLatest();
  await delay(drawBetween(random, 300, 2_000));
  site.store.setMode('silent');
  await delay(drawBetween(random, 100, 1_000));
  site.store.restoreBackup();
  site.store.setMode('up');
  await delay(drawBetween(random, 100, 900));
  site.rewriteLatest();
  return 'restored-from-backup';
};

/** Fraction of the answers that are lost while servers lose answers. */
const LOST_ANSWERS_FRACTION = 0.8;

const injectStoreFault = async (site: SoakSite, random: Random): Promise<string> => {
  if (random() < RESTORE_PROBABILITY) return restoreStore(site, random);
  if (random() < 0.25) {
    site.store.compact();
    return 'history-forgotten';
  }
  if (random() < SILENCE_PROBABILITY) {
    site.store.silenceConnections();
    return 'connections-silent';
  }
  const mode = STORE_MODES[Math.floor(random() * STORE_MODES.length)] ?? 'busy';
  site.store.setMode(mode);
  await delay(drawBetween(random, 300, 2_500));
  site.store.setMode('up');
  return mode;
};

/** Probability that a fault affects the store and not a process. */
const STORE_FAULT_PROBABILITY = 0.25;

/** Starts to inject faults, one every `everyMs` on average; several may overlap. */
export const startFaults = (site: SoakSite, random: Random, everyMs: number): Faults => {
  const injected: InjectedFault[] = [];
  const pending = new Set<Promise<unknown>>();
  const affected = new Set<Vm>();
  let isStoreAffected = false;
  let stopped = false;

  const recordFault = async (what: string, on: string, boot: number, work: Promise<unknown>) => {
    const fromMs = performance.now();
    const record = { what, on, boot, fromMs, toMs: Infinity };
    injected.push(record);
    const actualFault = await work;
    record.toMs = performance.now();
    if (typeof actualFault === 'string') record.what = actualFault;
  };

  const startStoreFault = async (): Promise<void> => {
    if (isStoreAffected) return;
    isStoreAffected = true;
    await recordFault('store', 'store', 0, injectStoreFault(site, random));
    isStoreAffected = false;
  };

  const injectProcessFault = async (name: string, vm: Vm): Promise<void> => {
    const action = processFaults[name];
    if (!action) return;
    affected.add(vm);
    await recordFault(name, vm.name, vm.boot, action(vm, random, site));
    affected.delete(vm);
  };

  const startProcessFault = async (): Promise<void> => {
    const unaffected = site.vms.filter((vm) => !affected.has(vm));
    const vm = unaffected[Math.floor(random() * unaffected.length)];
    const names = Object.keys(processFaults);
    const name = names[Math.floor(random() * names.length)] ?? '';
    if (vm) await injectProcessFault(name, vm);
  };

  const loseAnswers = async (forMs: number): Promise<void> => {
    const setLost = (isLost: () => boolean): void =>
      site.servers.forEach((server) => server.loseAnswers(isLost));
    setLost(() => random() < LOST_ANSWERS_FRACTION);
    await delay(forMs);
    setLost(() => false);
  };

  const spoilAnswers = async (forMs: number, fraction: number, draw: Random): Promise<void> => {
    site.servers.forEach((server) =>
      server.spoilAnswers(() =>
        draw() < fraction
          ? ENDLESS_ANSWERS[Math.floor(draw() * ENDLESS_ANSWERS.length)]
          : undefined,
      ),
    );
    await delay(forMs);
    site.servers.forEach((server) => server.spoilAnswers(() => undefined));
  };

  const run = async (): Promise<void> => {
    while (!stopped) {
      await delay(everyMs * 2 * random());
      if (stopped) return;
      const fault = random() < STORE_FAULT_PROBABILITY ? startStoreFault() : startProcessFault();
      pending.add(fault);
      void fault.then(() => pending.delete(fault));
    }
  };
  const running = run();

  return {
    injected,
    restoreStore: () => recordFault('store', 'store', 0, restoreStore(site, random)),
    killEntries: async () => {
      const entries = site.vms.filter((vm) => vm.role === 'entry' && !affected.has(vm));
      await Promise.all(entries.map((vm) => injectProcessFault('kill', vm)));
    },
    loseAnswers: (forMs) => recordFault('answers-lost', 'servers', 0, loseAnswers(forMs)),
    spoilAnswers: (forMs, fraction, draw) =>
      recordFault('answers-spoiled', 'servers', 0, spoilAnswers(forMs, fraction, draw)),
    evacuate: async (forMs) => {
      const fromMs = performance.now();
      site.setEvacuated(true);
      await recordFault('evacuated', 'data-centre', 0, delay(forMs));
      const toMs = performance.now();
      site.setEvacuated(false);
      return { fromMs, toMs };
    },
    stop: async () => {
      stopped = true;
      await running;
      await Promise.all(pending);
    },
  };
};
