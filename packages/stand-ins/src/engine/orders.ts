/** What orders do to the ranks of one engine. */
import type { ExpertMap } from './expert-map.js';

/** Map state of one engine; its ranks always share it, as an order goes to the engine. */
export interface MapState {
  /** The highest fence seen. */
  fence: number;
  /** The group as it was last formed; null for an engine with an empty memory. */
  formed: { group: string; fence: number; rankCount: number } | null;
  /** The last step that began. */
  step: number;
  map: ExpertMap | null;
  prepared: Map<number, ExpertMap>;
  armed: { version: number; atStep: number; decided: boolean } | null;
}

/** Why an order was refused. */
export type OrderRefusal =
  | 'old-fence'
  | 'late'
  | 'not-prepared'
  | 'not-armed'
  | 'armed-otherwise'
  | 'decided'
  | 'not-formed'
  | 'unknown-order';

/** The body of an order; which fields it needs depends on its name. */
export interface OrderBody {
  fence?: number;
  group?: string;
  rank_count?: number;
  version?: number;
  map?: ExpertMap;
  at_step?: number;
  name?: string;
}

/** What became of an order. */
export type OrderOutcome = { done: true } | { done: false; refused: OrderRefusal };

const DONE: OrderOutcome = { done: true };
const refuse = (refused: OrderRefusal): OrderOutcome => ({ done: false, refused });

/** Creates the state of an engine that has just started. */
export const createMapState = (): MapState => ({
  fence: 0,
  formed: null,
  step: 0,
  map: null,
  prepared: new Map(),
  armed: null,
});

const form = (state: MapState, body: OrderBody): OrderOutcome => {
  const { group = '', rank_count: rankCount = 0, fence = 0, map } = body;
  if (!map) return refuse('not-prepared');
  Object.assign(state, {
    formed: { group, fence, rankCount },
    map: { ...map, version: body.version ?? map.version },
    armed: null,
  });
  state.prepared.clear();
  return DONE;
};

const prepare = (state: MapState, body: OrderBody): OrderOutcome => {
  if (!body.map) return refuse('not-prepared');
  const version = body.version ?? body.map.version;
  state.prepared.set(version, { ...body.map, version });
  return DONE;
};

const arm = (state: MapState, body: OrderBody): OrderOutcome => {
  const { version = 0, at_step: atStep = 0 } = body;
  if (!state.formed) return refuse('not-formed');
  if (!state.prepared.has(version)) return refuse('not-prepared');
  const same = state.armed?.version === version && state.armed.atStep === atStep;
  if (same) return DONE;
  if (state.armed) return refuse('armed-otherwise');
  if (atStep <= state.step) return refuse('late');
  Object.assign(state, { armed: { version, atStep, decided: false } });
  return DONE;
};

const decideSwitch = (state: MapState, body: OrderBody): OrderOutcome => {
  if (state.map?.version === body.version) return DONE;
  const { armed } = state;
  if (!armed || armed.version !== body.version) return refuse('not-armed');
  armed.decided = true;
  return DONE;
};

const abort = (state: MapState, body: OrderBody): OrderOutcome => {
  const { version = 0 } = body;
  if (state.map?.version === version) return refuse('decided');
  if (state.armed?.version === version) {
    if (state.armed.decided) return refuse('decided');
    Object.assign(state, { armed: null });
  }
  return DONE;
};

/** Refuses an old fence if the engine checks, and remembers the highest. */
export const checkFence = (state: MapState, body: OrderBody, checks: boolean): OrderOutcome => {
  const { fence } = body;
  if (fence === undefined) return DONE;
  if (checks && fence < state.fence) return refuse('old-fence');
  Object.assign(state, { fence: Math.max(state.fence, fence) });
  return DONE;
};

/** Carries out an order that has passed the fence; `prepare_map` after its weights are loaded. */
export const applyOrder = (state: MapState, name: string, body: OrderBody): OrderOutcome => {
  switch (name) {
    case 'form_group':
      return form(state, body);
    case 'prepare_map':
      return prepare(state, body);
    case 'arm_map':
      return arm(state, body);
    case 'switch_map':
      return decideSwitch(state, body);
    case 'abort_map':
      return abort(state, body);
    default:
      return refuse('unknown-order');
  }
};

/** True when these ranks may not begin step `next` yet. */
export const holdsBefore = (state: MapState, next: number): boolean =>
  state.armed !== null && !state.armed.decided && next >= state.armed.atStep;

/** Begins step `next`: a decided switch takes effect when its step has come. */
export const beginStep = (state: MapState, next: number): void => {
  const { armed } = state;
  if (armed?.decided && next >= armed.atStep) {
    const map = state.prepared.get(armed.version) ?? state.map;
    const old = [...state.prepared.keys()].filter((version) => version <= armed.version);
    old.forEach((version) => state.prepared.delete(version));
    Object.assign(state, { map, armed: null });
  }
  Object.assign(state, { step: next });
};
