/** Lock-step execution: the ranks of one group run each step together or not at all. */
import type { Clock, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { Signal } from '../signal.js';
import type { Engine } from './engine.js';
import type { Oracle } from './oracle.js';
import { beginStep, mustWaitBefore } from './orders.js';
import type { Popularity } from './popularity.js';

/** Fraction of a step's base time that does not depend on the rank's tokens. */
const FIXED_TIME_FRACTION = 0.4;

/** Options of `createStepper`. */
export interface StepperOptions {
  engines: Engine[];
  clock: Clock;
  /** Random source for the noise of step times. */
  random: Random;
  popularity: Popularity;
  oracle: Oracle;
  /** Time of a step when only the base load is computed and evenly distributed, in microseconds. */
  stepUs: number;
  /** Base load: tokens per rank in each step, in addition to those of requests. */
  baseTokensPerRank: number;
  /** Notified whenever an order or a fault may have changed whether a group can step. */
  changed: Signal;
  /** Called after each step. */
  onStep(): void;
}

/** Runs the steps of all groups. */
export interface Stepper {
  /** Starts the step loop of the group that an engine has joined, unless it is already running. */
  join(engine: Engine): void;
  close(): void;
}

/** Engines formed with the same group name, fence and size communicate with each other. */
const formationKey = (engine: Engine): string => JSON.stringify(engine.memory.state.formed);

/** Creates a stepper; `join` starts the steps of a group. */
export const createStepper = (options: StepperOptions): Stepper => {
  const { engines, clock, popularity, oracle, changed } = options;
  const runningKeys = new Set<string>();
  let closed = false;

  const membersOf = (key: string): Engine[] =>
    engines.filter((engine) => engine.alive && formationKey(engine) === key);

  const isComplete = (members: Engine[]): boolean => {
    const size = members.reduce((sum, engine) => sum + engine.ranks.length, 0);
    return size > 0 && size === members[0]?.memory.state.formed?.rankCount;
  };

  const nextStep = (members: Engine[]): number =>
    Math.max(...members.map((engine) => engine.memory.state.step)) + 1;

  const canStep = (members: Engine[]): boolean =>
    isComplete(members) && !members.some((engine) => engine.faults.frozen);

  const isHeld = (members: Engine[]): boolean => {
    const next = nextStep(members);
    return members.some((engine) => mustWaitBefore(engine.memory.state, next));
  };

  const isSplit = (key: string, group: string): boolean => {
    const others = engines.filter(
      (engine) => engine.memory.state.formed?.group === group && formationKey(engine) !== key,
    );
    return others.some((engine) => canStep(membersOf(formationKey(engine))));
  };

  /**
   * Distributes the tokens of a step over the experts' replicas; returns the tokens of each rank.
   */
  const distributeTokens = (members: Engine[], step: number): Map<number, number> => {
    const shares = popularity.at(step);
    const expertTokensByRank = new Map(
      members.flatMap((engine) =>
        engine.ranks.map((rank, at) => [rank, engine.tokensByExpert[at] ?? []] as const),
      ),
    );
    const requested = members.reduce((sum, engine) => sum + engine.memory.batch.tokens(), 0);
    const total = requested + options.baseTokensPerRank * expertTokensByRank.size;
    const tokensByRank = new Map([...expertTokensByRank.keys()].map((rank) => [rank, 0]));
    (members[0]?.memory.state.map?.layers ?? []).forEach((placements, layer) => {
      placements.forEach(({ expert, ranks }) => {
        const tokensPerReplica = ((shares[layer]?.[expert] ?? 0) * total) / ranks.length;
        ranks.forEach((rank) => {
          tokensByRank.set(rank, (tokensByRank.get(rank) ?? 0) + tokensPerReplica);
          const tokens = expertTokensByRank.get(rank)?.[layer];
          if (tokens) tokens[expert] = (tokens[expert] ?? 0) + tokensPerReplica;
        });
      });
    });
    return tokensByRank;
  };

  const computeRankTimes = (members: Engine[], step: number): void => {
    const tokensByRank = distributeTokens(members, step);
    const layers = members[0]?.memory.state.map?.layers.length ?? 1;
    const baselineTokens = options.baseTokensPerRank * layers;
    members.forEach((engine) =>
      engine.ranks.forEach((rank, at) => {
        const relativeLoad = (tokensByRank.get(rank) ?? 0) / baselineTokens;
        const us =
          options.stepUs * (FIXED_TIME_FRACTION + (1 - FIXED_TIME_FRACTION) * relativeLoad);
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
    computeRankTimes(members, next);
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
    const isGroupUnchanged = members.every(
      (engine) => engine.alive && formationKey(engine) === key,
    );
    if (isGroupUnchanged) members.forEach((engine) => engine.memory.batch.step());
    options.onStep();
  };

  /** Step loop of one group; it ends when no running engine belongs to the group any more. */
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
    runningKeys.delete(key);
  };

  return {
    join: (engine) => {
      const key = formationKey(engine);
      changed.notify();
      if (runningKeys.has(key) || key === 'null') return;
      runningKeys.add(key);
      void run(key);
    },
    close: () => {
      closed = true;
      changed.notify();
    },
  };
};
