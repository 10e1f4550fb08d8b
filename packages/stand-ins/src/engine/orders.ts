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
  /** The highest version that these ranks will never prepare or arm. */
  refusedTo: number;
}

/** Why an order was refused. */
export type OrderRefusal =
  | 'old-fence'
  | 'late'
  | 'not-prepared'
  | 'not-armed'
  | 'busy'
  | 'armed'
  | 'refused'
  | 'old-version'
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
  refusedTo: 0,
});

const form = (state: MapState, body: OrderBody): OrderOutcome => {
  const { group = '', rank_count: rankCount = 0, fence = 0, map } = body;
  if (!map) return refuse('not-prepared');
  if (state.map && (body.version ?? map.version) <= state.map.version) return refuse('old-version');
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
  if (!state.map) return refuse('not-formed');
  if (version <= state.map.version) return refuse('old-version');
  if (version <= state.refusedTo) return refuse('refused');
  state.prepared.set(version, { ...body.map, version });
  return DONE;
};

const arm = (state: MapState, body: OrderBody): OrderOutcome => {
  const { version = 0, at_step: atStep = 0 } = body;
  if (!state.formed) return refuse('not-formed');
  const same = state.armed?.version === version && state.armed.atStep === atStep;
  if (same) return DONE;
  if (state.armed) return refuse('busy');
  if (version <= state.refusedTo) return refuse('refused');
  if (!state.prepared.has(version)) return refuse('not-prepared');
  if (atStep <= state.step) return refuse('late');
  Object.assign(state, { armed: { version, atStep, decided: false } });
  return DONE;
};

const decideSwitch = (state: MapState, body: OrderBody): OrderOutcome => {
  if (state.armed?.version === body.version) Object.assign(state.armed ?? {}, { decided: true });
  return DONE;
};

const refuseVersion = (state: MapState, body: OrderBody): OrderOutcome => {
  const { version = 0 } = body;
  if (state.map?.version === version || state.armed?.version === version) return refuse('armed');
  Object.assign(state, { refusedTo: Math.max(state.refusedTo, version) });
  const refused = [...state.prepared.keys()].filter((prepared) => prepared <= version);
  // An armed version is prepared too, and may be smaller than the refused one.
  refused
    .filter((prepared) => prepared !== state.armed?.version)
    .forEach((prepared) => state.prepared.delete(prepared));
  return DONE;
};

const abort = (state: MapState, body: OrderBody): OrderOutcome => {
  const { armed } = state;
  if (armed?.version === body.version && !armed?.decided) Object.assign(state, { armed: null });
  return refuseVersion(state, body);
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
    case 'refuse_map':
      return refuseVersion(state, body);
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
