/** What a rank of the users' engines does with an order: their page's rules and what trials showed. */

/** What a rank knows that orders depend on. */
export interface RankOrderState {
  epoch: number;
  /** The last pass that was begun. */
  step: number;
  map: number;
  /** The one version that is prepared, and whether all its experts are copied. */
  prepared: number | undefined;
  isCopied: boolean;
  /** The highest version that the rank has had. */
  highest: number;
  armed: { version: number; step: number } | undefined;
  held: number | undefined;
}

/** An order as it arrives; one without an epoch holds in any. */
export interface RankOrderRequest {
  op: string;
  epoch?: number | undefined;
  version?: number | undefined;
  step?: number | undefined;
}

/** What comes of an order; `begun` prepares a version that is new to the rank. */
export interface RankOrderEffect {
  outcome: 'begun' | 'done' | 'refused' | 'unknown';
  change: Partial<Pick<RankOrderState, 'prepared' | 'highest' | 'armed' | 'held'>>;
}

const done = (change: RankOrderEffect['change'] = {}): RankOrderEffect => ({
  outcome: 'done',
  change,
});
const refused: RankOrderEffect = { outcome: 'refused', change: {} };

const prepare = (state: RankOrderState, version: number): RankOrderEffect => {
  if (state.prepared === version || state.map === version) return done();
  if (state.armed || version <= state.highest) return refused;
  return { outcome: 'begun', change: { prepared: version, highest: version } };
};

const arm = (state: RankOrderState, version: number, step: number): RankOrderEffect => {
  const isReady = state.prepared === version && state.isCopied;
  return isReady && step > state.step ? done({ armed: { version, step } }) : refused;
};

const disarm = (state: RankOrderState, version: number): RankOrderEffect => {
  if (state.map === version) return refused;
  return state.armed?.version === version ? done({ armed: undefined }) : done();
};

const hold = (state: RankOrderState, step: number): RankOrderEffect => {
  const isFree = state.held === undefined || state.held === step;
  return isFree && step > state.step ? done({ held: step }) : refused;
};

/** Judges an order; the caller carries the change out. */
export const judgeRankOrder = (
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
      return state.held === step ? done({ held: undefined }) : done();
    default:
      return { outcome: 'unknown', change: {} };
  }
};
