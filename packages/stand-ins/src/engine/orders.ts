/** Effects of orders on the map state of one engine. */
import type { ExpertMap } from './expert-map.js';

/** Map state of one engine, shared by its ranks because an order applies to the whole engine. */
export interface MapState {
  /** The highest fencing token received. */
  fence: number;
  /** The group that this engine last joined; null after a start. */
  formed: { group: string; fence: number; rankCount: number } | null;
  /** Number of the last step that started. */
  step: number;
  map: ExpertMap | null;
  prepared: Map<number, ExpertMap>;
  armed: { version: number; atStep: number; decided: boolean } | null;
  /** This version and all lower ones can no longer be prepared or armed. */
  refusedTo: number;
}

/** Reason for refusing an order. */
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

/** Body of an order; the required fields depend on its name. */
export interface OrderBody {
  fence?: number;
  group?: string;
  rank_count?: number;
  version?: number;
  map?: ExpertMap;
  at_step?: number;
  name?: string;
}

/** Result of an order. */
export type OrderOutcome = { done: true } | { done: false; refused: OrderRefusal };

const DONE: OrderOutcome = { done: true };
const refuse = (refused: OrderRefusal): OrderOutcome => ({ done: false, refused });

/** Creates the state of a newly started engine. */
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
  const isRepeat = state.armed?.version === version && state.armed.atStep === atStep;
  if (isRepeat) return DONE;
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
  // The armed version may be lower than the refused one and must stay prepared.
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

/** Refuses a stale fencing token if checking is enabled, and records the highest one. */
export const checkFence = (state: MapState, body: OrderBody, isEnforced: boolean): OrderOutcome => {
  const { fence } = body;
  if (fence === undefined) return DONE;
  if (isEnforced && fence < state.fence) return refuse('old-fence');
  Object.assign(state, { fence: Math.max(state.fence, fence) });
  return DONE;
};

/** Applies an order after its fence check and, for `prepare_map`, after its weights are loaded. */
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

/** Returns true if step `next` must wait because the switch armed for it is not yet decided. */
export const mustWaitBefore = (state: MapState, next: number): boolean =>
  state.armed !== null && !state.armed.decided && next >= state.armed.atStep;

/** Starts step `next`; a decided switch takes effect once its step is reached. */
export const beginStep = (state: MapState, next: number): void => {
  const { armed } = state;
  if (armed?.decided && next >= armed.atStep) {
    const map = state.prepared.get(armed.version) ?? state.map;
    const obsoleteVersions = [...state.prepared.keys()].filter(
      (version) => version <= armed.version,
    );
    obsoleteVersions.forEach((version) => state.prepared.delete(version));
    Object.assign(state, { map, armed: null });
  }
  Object.assign(state, { step: next });
};
