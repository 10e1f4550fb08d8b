/** Lock-step: the ranks that were formed into one group make each step together or not at all. */
import type { Clock, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { Signal } from '../signal.js';
import type { Engine } from './engine.js';
import type { Oracle } from './oracle.js';
import { beginStep, holdsBefore } from './orders.js';
import type { Popularity } from './popularity.js';

/** Share of a step's time that does not depend on the rank's tokens. */
const FIXED_SHARE = 0.4;

/** Options of the stepper. */
export interface StepperOptions {
  engines: Engine[];
  clock: Clock;
  /** Draws the noise of step times. */
  random: Random;
  popularity: Popularity;
  oracle: Oracle;
  /** Time of a step under the base load spread evenly, in microseconds. */
  stepUs: number;
  /** Tokens that every rank computes in each step besides its requests. */
  baseTokensPerRank: number;
  /** Notified whenever an engine was formed, released, frozen, killed or thawed. */
  changed: Signal;
  /** Called after each step. */
  onStep(): void;
}

/** Drives the steps of all groups. */
export interface Stepper {
  /** Starts the steps of a group that an engine has just joined, if they don't run yet. */
  join(engine: Engine): void;
  close(): void;
}

/** Ranks that were formed under the same name, fence and size communicate with each other. */
const keyOf = (engine: Engine): string => JSON.stringify(engine.memory.state.formed);

/** Starts no steps by itself; see `join`. */
export const createStepper = (options: StepperOptions): Stepper => {
  const { engines, clock, popularity, oracle, changed } = options;
  const loops = new Set<string>();
  let closed = false;

  const membersOf = (key: string): Engine[] =>
    engines.filter((engine) => engine.alive && keyOf(engine) === key);

  const isWhole = (members: Engine[]): boolean => {
    const size = members.reduce((sum, engine) => sum + engine.ranks.length, 0);
    return size > 0 && size === members[0]?.memory.state.formed?.rankCount;
  };

  const nextStep = (members: Engine[]): number =>
    Math.max(...members.map((engine) => engine.memory.state.step)) + 1;

  const canStep = (members: Engine[]): boolean =>
    isWhole(members) && !members.some((engine) => engine.faults.frozen);

  const isHeld = (members: Engine[]): boolean => {
    const next = nextStep(members);
    return members.some((engine) => holdsBefore(engine.memory.state, next));
  };

  const isSplit = (key: string, group: string): boolean => {
    const others = engines.filter(
      (engine) => engine.memory.state.formed?.group === group && keyOf(engine) !== key,
    );
    return others.some((engine) => canStep(membersOf(keyOf(engine))));
  };

  /** Spreads a step's tokens over the ranks; the tokens of each rank. */
  const spread = (members: Engine[], step: number): Map<number, number> => {
    const shares = popularity.at(step);
    const places = new Map(
      members.flatMap((engine) =>
        engine.ranks.map((rank, at) => [rank, engine.tokensByExpert[at] ?? []] as const),
      ),
    );
    const requested = members.reduce((sum, engine) => sum + engine.memory.batch.tokens(), 0);
    const total = requested + options.baseTokensPerRank * places.size;
    const loads = new Map([...places.keys()].map((rank) => [rank, 0]));
    (members[0]?.memory.state.map?.layers ?? []).forEach((placements, layer) => {
      placements.forEach(({ expert, ranks }) => {
        const each = ((shares[layer]?.[expert] ?? 0) * total) / ranks.length;
        ranks.forEach((rank) => {
          loads.set(rank, (loads.get(rank) ?? 0) + each);
          const tokens = places.get(rank)?.[layer];
          if (tokens) tokens[expert] = (tokens[expert] ?? 0) + each;
        });
      });
    });
    return loads;
  };

  const timeRanks = (members: Engine[], step: number): void => {
    const loads = spread(members, step);
    const layers = members[0]?.memory.state.map?.layers.length ?? 1;
    const usual = options.baseTokensPerRank * layers;
    members.forEach((engine) =>
      engine.ranks.forEach((rank, at) => {
        const load = (loads.get(rank) ?? 0) / usual;
        const us = options.stepUs * (FIXED_SHARE + (1 - FIXED_SHARE) * load);
        const { speeds, timeNoise } = engine.faults;
        const noise = timeNoise === 0 ? 1 : 1 + timeNoise * (2 * options.random() - 1);
        // eslint-disable-next-line no-param-reassign
        engine.rankUs[at] = (us * noise) / (speeds[at] ?? 1);
      }),
    );
  };

  const step = async (key: string, members: Engine[], holdUs: number): Promise<void> => {
    const next = nextStep(members);
    const group = members[0]?.memory.state.formed?.group ?? '';
    members.forEach((engine) => beginStep(engine.memory.state, next));
    timeRanks(members, next);
    const rankUs = members.flatMap((engine) => engine.rankUs);
    const versions = members.flatMap((engine) =>
      engine.ranks.map(() => engine.memory.state.map?.version ?? 0),
    );
    const skewUs = Math.max(...rankUs) - Math.min(...rankUs);
    oracle.record({ group, step: next, versions, rankUs, skewUs }, holdUs, isSplit(key, group));
    await sleep(clock, Math.max(...rankUs) / 1000);
    while (!closed && members.some((engine) => engine.alive && engine.faults.frozen)) {
      await changed.wait();
    }
    const together = members.every((engine) => engine.alive && keyOf(engine) === key);
    if (together) members.forEach((engine) => engine.memory.batch.step());
    options.onStep();
  };

  /** The task of one group: it ends when no engine is formed under the key any more. */
  const run = async (key: string): Promise<void> => {
    let heldSince: number | undefined;
    while (!closed) {
      const members = membersOf(key);
      if (members.length === 0) break;
      if (!canStep(members)) {
        await changed.wait();
        continue;
      }
      if (isHeld(members)) {
        heldSince ??= clock.monotonic();
        await changed.wait();
        continue;
      }
      const holdUs = heldSince === undefined ? 0 : (clock.monotonic() - heldSince) * 1000;
      heldSince = undefined;
      await step(key, members, holdUs);
    }
    loops.delete(key);
  };

  return {
    join: (engine) => {
      const key = keyOf(engine);
      changed.notify();
      if (loops.has(key) || key === 'null') return;
      loops.add(key);
      void run(key);
    },
    close: () => {
      closed = true;
      changed.notify();
    },
  };
};
