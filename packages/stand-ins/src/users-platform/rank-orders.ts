/**
 * How a rank of the users' engines handles an order, by the documented rules and by observed
 * behaviour.
 */

/** State of a rank that determines the outcome of orders. */
export interface RankOrderState {
  epoch: number;
  /** Number of the last pass that was started. */
  step: number;
  /** Version of the map in use. */
  map: number;
  /** The prepared version, at most one, and whether all its experts have been copied. */
  prepared: number | undefined;
  isCopied: boolean;
  /** The highest map version that the rank has prepared or used. */
  highest: number;
  armed: { version: number; step: number } | undefined;
  /** Number of the pass that must not start. */
  held: number | undefined;
}

/** An order as received; an order without an epoch is valid in any epoch. */
export interface RankOrderRequest {
  op: string;
  epoch?: number | undefined;
  version?: number | undefined;
  step?: number | undefined;
}

/**
 * Outcome of an order and its change of state; `begun` starts to prepare a version new to the rank.
 */
export interface RankOrderEffect {
  outcome: 'begun' | 'done' | 'refused' | 'unknown';
  change: Partial<Pick<RankOrderState, 'prepared' | 'highest' | 'armed' | 'held'>>;
}

const succeeded = (change: RankOrderEffect['change'] = {}): RankOrderEffect => ({
  outcome: 'done',
  change,
});
const refused: RankOrderEffect = { outcome: 'refused', change: {} };

const prepare = (state: RankOrderState, version: number): RankOrderEffect => {
  if (state.prepared === version || state.map === version) return succeeded();
  if (state.armed || version <= state.highest) return refused;
  return { outcome: 'begun', change: { prepared: version, highest: version } };
};

const arm = (state: RankOrderState, version: number, step: number): RankOrderEffect => {
  const isReady = state.prepared === version && state.isCopied;
  return isReady && step > state.step ? succeeded({ armed: { version, step } }) : refused;
};

const disarm = (state: RankOrderState, version: number): RankOrderEffect => {
  if (state.map === version) return refused;
  return state.armed?.version === version ? succeeded({ armed: undefined }) : succeeded();
};

const hold = (state: RankOrderState, step: number): RankOrderEffect => {
  const canHold = state.held === undefined || state.held === step;
  return canHold && step > state.step ? succeeded({ held: step }) : refused;
};

/** Determines the effect of an order; the caller applies the change. */
export const evaluateRankOrder = (
  state: RankOrderState,
  { op, epoch, version = -1, step = -1 }: RankOrderRequest,
): RankOrderEffect => {
  if (epoch !== undefined && epoch !== state.epoch) return refused;
  switch (op) {
    case 'prepare':
      return prepare(state, version);
    case 'arm':
      return arm(state, version, step);
    case 'disarm':
      return disarm(state, version);
    case 'hold':
      return hold(state, step);
    case 'go':
      return state.held === step ? succeeded({ held: undefined }) : succeeded();
    default:
      return { outcome: 'unknown', change: {} };
  }
};
