import type { Clock } from '@plantaindrum/common';
import type { EnginePort, EngineState, ExpertMapDocument, OrderOutcome } from '../../src/index.js';

interface Armed {
  version: number;
  at_step: number;
  decided: boolean;
}

/** Memory of one engine; a replacement starts with a new one. */
const createMemory = (layers: number, experts: number) => ({
  fence: 0,
  refusedTo: 0,
  step: 0,
  map: undefined as ExpertMapDocument | undefined,
  prepared: new Map<number, ExpertMapDocument>(),
  armed: null as Armed | null,
  tokens: Array.from({ length: layers }, () => new Array<number>(experts).fill(0)),
  /** Number of tokens in the last step. */
  served: 0,
});

type Memory = ReturnType<typeof createMemory>;
interface Body {
  fence: number;
  version: number;
  at_step?: number;
  map?: ExpertMapDocument;
}

const done: OrderOutcome = { outcome: 'done' };
const refused = (reason: string): OrderOutcome => ({ outcome: 'refused', reason });

const refuseMap = (memory: Memory, version: number): OrderOutcome => {
  if (memory.map?.version === version || memory.armed?.version === version) return refused('armed');
  Object.assign(memory, { refusedTo: Math.max(memory.refusedTo, version) });
  if (memory.armed?.version !== version) memory.prepared.delete(version);
  return done;
};

const arm = (memory: Memory, { version, at_step: atStep = 0 }: Body): OrderOutcome => {
  if (memory.armed?.version === version) return done;
  if (memory.armed) return refused('busy');
  if (version <= memory.refusedTo) return refused('refused');
  if (!memory.prepared.has(version)) return refused('not-prepared');
  if (atStep <= memory.step) return refused('late');
  Object.assign(memory, { armed: { version, at_step: atStep, decided: false } });
  return done;
};

const apply = (memory: Memory, name: string, body: Body, checks: boolean): OrderOutcome => {
  const { version, map } = body;
  const current = memory.map?.version ?? -1;
  if (name === 'form_group') {
    if (checks && version <= current) return refused('old-version');
    memory.prepared.clear();
    Object.assign(memory, { map, armed: null });
    return done;
  }
  if (name === 'prepare_map') {
    if (!memory.map) return refused('not-formed');
    if (version <= current) return refused('old-version');
    if (version <= memory.refusedTo) return refused('refused');
    if (map) memory.prepared.set(version, map);
    return done;
  }
  if (name === 'arm_map') return arm(memory, body);
  if (name === 'refuse_map') return refuseMap(memory, version);
  if (name === 'switch_map') {
    const { armed } = memory;
    if (armed?.version === version) armed.decided = true;
    return done;
  }
  const isOpen = memory.armed?.version === version && !memory.armed.decided;
  if (isOpen) Object.assign(memory, { armed: null });
  return refuseMap(memory, version);
};

const isHolding = ({ armed, step }: Memory): boolean =>
  armed !== null && !armed.decided && step + 1 >= armed.at_step;

const stateOf = (memory: Memory, rank: number, stepMs: number): EngineState => {
  const { fence, refusedTo, step, map, armed, prepared, tokens } = memory;
  const state = {
    rank,
    step,
    version: map?.version ?? null,
    prepared: [...prepared.keys()],
    armed,
    holding: isHolding(memory),
    step_time_us: stepMs * 500 + memory.served,
    tokens_by_expert: tokens,
  };
  const group = map ? 'g' : null;
  return structuredClone({ group, fence, refused_to: refusedTo, ranks: [state] });
};

/** One engine of a fake group, with one rank. */
export interface FakeEngine {
  readonly rank: number;
  /** Returns a port to the current engine; after `replace`, it leads to one outside the group. */
  connect(): EnginePort;
  /** Replaces the engine of the rank by a blank one. */
  replace(): void;
  version(): number | null;
  isArmed(): boolean;
  step(): number;
}

/** Observations of all engines, to check the group's steps. */
export interface Oracle {
  steps: number;
  /** Steps in which ranks used different maps; must stay empty. */
  mixed: { step: number; versions: (number | undefined)[] }[];
  /** Time that the formed group spent holding, in milliseconds. */
  heldMs: number;
  versions: Set<number>;
}

/** Options of `createFakeEngines`. */
export interface FakeEnginesOptions {
  clock: Clock;
  ranks: number;
  layers: number;
  experts: number;
  /** When false, orders with old fencing tokens and forming with old versions are accepted. */
  checksFence: boolean;
  stepMs: number;
  /** Number of tokens of an expert in each step. */
  popularity: (layer: number, expert: number) => number;
  /** Called before each order is executed; an order without an answer may still take effect. */
  onOrder?: (rank: number, name: string) => 'drop' | 'lose-answer' | 'twice' | undefined;
}

/**
 * Creates the engines of one group, which step together as soon as every rank has any map. They
 * check less than real engines, so that only the protocol keeps the maps equal.
 */
export const createFakeEngines = (options: FakeEnginesOptions) => {
  const { clock, layers, experts } = options;
  const memories = Array.from({ length: options.ranks }, () => createMemory(layers, experts));
  const oracle: Oracle = { steps: 0, mixed: [], heldMs: 0, versions: new Set() };

  const serveTokens = (memory: Memory, rank: number): void => {
    let served = 0;
    memory.map?.layers.forEach((placements, layer) =>
      placements.forEach(({ expert, ranks }) => {
        const target = memory.tokens[layer];
        if (!target || !ranks.includes(rank)) return;
        const tokens = options.popularity(layer, expert) / ranks.length;
        target[expert] = (target[expert] ?? 0) + tokens;
        served += tokens;
      }),
    );
    Object.assign(memory, { served });
  };

  const beginStep = (memory: Memory, step: number): void => {
    const { armed } = memory;
    Object.assign(memory, { step });
    if (!armed?.decided || step < armed.at_step) return;
    Object.assign(memory, { map: memory.prepared.get(armed.version), armed: null });
  };

  const tryStep = (): void => {
    if (memories.some(({ map }) => !map)) return;
    if (memories.some(isHolding)) {
      oracle.heldMs += options.stepMs;
      return;
    }
    const step = Math.max(...memories.map((memory) => memory.step)) + 1;
    memories.forEach((memory) => beginStep(memory, step));
    const versions = memories.map(({ map }) => map?.version);
    oracle.steps += 1;
    oracle.versions.add(versions[0] ?? -1);
    if (new Set(versions).size > 1) oracle.mixed.push({ step, versions });
    memories.forEach(serveTokens);
  };

  const tick = (): void => {
    tryStep();
    clock.after(options.stepMs, tick);
  };

  const createEngine = (rank: number): FakeEngine => {
    const memory = (): Memory => memories[rank] ?? createMemory(layers, experts);
    const executeOrder = (currentMemory: Memory, name: string, body: Body): OrderOutcome => {
      if (options.checksFence && body.fence < currentMemory.fence) return refused('old-fence');
      Object.assign(currentMemory, { fence: Math.max(currentMemory.fence, body.fence) });
      return apply(currentMemory, name, body, options.checksFence);
    };
    const connect = (): EnginePort => {
      const currentMemory = memory();
      return {
        order: async (name, body) => {
          const fault = options.onOrder?.(rank, name);
          if (fault === 'drop') return { outcome: 'lost' };
          const first = executeOrder(currentMemory, name, body as unknown as Body);
          if (fault === 'lose-answer') return { outcome: 'lost' };
          return fault === 'twice'
            ? executeOrder(currentMemory, name, body as unknown as Body)
            : first;
        },
        state: async () => stateOf(currentMemory, rank, options.stepMs),
      };
    };
    return {
      rank,
      connect,
      replace: () => {
        memories[rank] = createMemory(layers, experts);
      },
      version: () => memory().map?.version ?? null,
      isArmed: () => memory().armed !== null,
      step: () => memory().step,
    };
  };

  return {
    oracle,
    engines: memories.map((_, rank) => createEngine(rank)),
    start: () => clock.after(options.stepMs, tick),
  };
};
