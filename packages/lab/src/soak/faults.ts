/** Faults of the soak: drawn by a seed, in series that overlap. */

import { setTimeout as delay } from 'node:timers/promises';
import type { Random } from '@plantaindrum/common';
import type { StoreMode } from '@plantaindrum/stand-ins';
import type { Vm, World } from './world.js';

/** One fault that was played, for the report of a violation. */
export interface PlayedFault {
  what: string;
  on: string;
  /** Start of the program that was harmed; 0 for the store. */
  boot: number;
  fromMs: number;
  toMs: number;
}

/** Faults under way. */
export interface Faults {
  played: readonly PlayedFault[];
  /** Plays a restore of the store from an older copy now, beside what is under way. */
  restoreStore(): Promise<void>;
  /** Draws no more, and waits until all that was harmed is whole again. */
  stop(): Promise<void>;
}

type Act = (vm: Vm, random: Random, world: World) => Promise<void>;

const between = (random: Random, least: number, most: number): number =>
  least + random() * (most - least);

const restartLater = async (vm: Vm, random: Random, world: World): Promise<void> => {
  await vm.child.exited;
  await delay(between(random, 100, 1_200));
  await world.restart(vm);
};

/** Faults of one program's process. */
const onProgram: Readonly<Record<string, Act>> = {
  kill: async (vm, random, world) => {
    vm.child.signal('SIGKILL');
    await restartLater(vm, random, world);
  },
  'planned-stop': async (vm, random, world) => {
    vm.child.signal('SIGTERM');
    await restartLater(vm, random, world);
  },
  freeze: async (vm, random) => {
    vm.child.signal('SIGSTOP');
    await delay(between(random, 300, 3_500));
    vm.child.signal('SIGCONT');
  },
  'settings-changed': async (vm, random, world) => {
    await world.changeSettings(vm, Math.round(between(random, 20, 120)));
    if (random() < 0.5) vm.child.signal('SIGHUP');
    await delay(100);
  },
};

/** Part of the store's faults in which it comes back from an older copy. */
const RESTORE_SHARE = 0.3;

const STORE_MODES: readonly StoreMode[] = ['busy', 'silent', 'losing-answers'];

/** Writes that a restored store has lost, so that later ones get offsets which were given out before. */
const LOST_WRITES = 3;

/** The store comes back from an older copy; the operators and servers write again what they wrote since. */
const restoreStore = async (world: World, random: Random): Promise<string> => {
  world.store.takeBackup();
  for (let n = 0; n < LOST_WRITES; n += 1) world.writeAgain();
  await delay(between(random, 300, 2_000));
  world.store.setMode('silent');
  await delay(between(random, 100, 1_000));
  world.store.restoreBackup();
  world.store.setMode('up');
  await delay(between(random, 100, 900));
  world.writeAgain();
  return 'restored-from-backup';
};

const harmStore = async (world: World, random: Random): Promise<string> => {
  if (random() < RESTORE_SHARE) return restoreStore(world, random);
  if (random() < 0.25) {
    world.store.forgetHistory();
    return 'history-forgotten';
  }
  const mode = STORE_MODES[Math.floor(random() * STORE_MODES.length)] ?? 'busy';
  world.store.setMode(mode);
  await delay(between(random, 300, 2_500));
  world.store.setMode('up');
  return mode;
};

/** Part of the faults that are the store's. */
const STORE_SHARE = 0.25;

/** Starts to play faults, one every `everyMs` on average; several may be under way. */
export const startFaults = (world: World, random: Random, everyMs: number): Faults => {
  const played: PlayedFault[] = [];
  const underWay = new Set<Promise<unknown>>();
  const harmed = new Set<Vm>();
  let isStoreHarmed = false;
  let stopped = false;

  const note = async (what: string, on: string, boot: number, work: Promise<unknown>) => {
    const fromMs = performance.now();
    const known = { what, on, boot, fromMs, toMs: Infinity };
    played.push(known);
    const found = await work;
    known.toMs = performance.now();
    if (typeof found === 'string') known.what = found;
  };

  const strikeStore = async (): Promise<void> => {
    if (isStoreHarmed) return;
    isStoreHarmed = true;
    await note('store', 'store', 0, harmStore(world, random));
    isStoreHarmed = false;
  };

  const strikeProgram = async (): Promise<void> => {
    const sound = world.vms.filter((vm) => !harmed.has(vm));
    const vm = sound[Math.floor(random() * sound.length)];
    const names = Object.keys(onProgram);
    const name = names[Math.floor(random() * names.length)] ?? '';
    const act = onProgram[name];
    if (!vm || !act) return;
    harmed.add(vm);
    await note(name, vm.name, vm.boot, act(vm, random, world));
    harmed.delete(vm);
  };

  const run = async (): Promise<void> => {
    while (!stopped) {
      await delay(everyMs * 2 * random());
      if (stopped) return;
      const strike = random() < STORE_SHARE ? strikeStore() : strikeProgram();
      underWay.add(strike);
      void strike.then(() => underWay.delete(strike));
    }
  };
  const running = run();

  return {
    played,
    restoreStore: () => note('store', 'store', 0, restoreStore(world, random)),
    stop: async () => {
      stopped = true;
      await running;
      await Promise.all(underWay);
    },
  };
};
