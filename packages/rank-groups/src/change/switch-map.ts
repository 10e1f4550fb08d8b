/**
 * Changes a group's map with orders that may be lost, or carried out seconds late.
 *
 * Invariant: when a pass begins, all ranks use the same map. A rank's map changes only when a pass
 * begins for which the rank is armed. So for each pass S: when S begins, either all ranks are armed
 * for S with one version, or none is.
 *
 * 1. `prepare` a version that no other map has, on all ranks, and wait until all have prepared it.
 *    A rank keeps one prepared version, and refuses others while it is armed.
 * 2. `hold` a pass S at this coordinator's own rank; the order is sent by the agent of another VM.
 *    No rank begins S before that rank receives `go` S. Without an answer the change ends here,
 *    with no rank armed.
 * 3. Check that every rank still answers, then `arm` the version for S on all ranks, until each has
 *    accepted.
 * 4. `go` S, only when all ranks are armed or none can ever be.
 *
 * Late orders are harmless. A late `arm` is refused because S has begun, or finds the rank armed
 * with the same version for the same S. A late `hold` is refused because S has begun, or holds a
 * pass that `resolveHeldPass` releases. A late `go` S was sent when S was allowed to begin;
 * this coordinator never uses S again in the epoch, and others hold passes at ranks of their own. A
 * late `prepare` has a version that the rank has already had. A late `disarm` has a version that is
 * never armed again. In another epoch all of them are refused.
 *
 * Two concurrent coordinators are harmless too. An armed rank refuses to prepare, so only one
 * version can be armed everywhere, and a hold is released only by a coordinator that knows its pass
 * to be decided. No coordinator arms another one's pass at which no rank is armed (see
 * `resolveHeldPass`), so a coordinator that has armed no rank may release its pass.
 *
 * The hold is sent through another VM for this reason: when a VM stops right after holding a pass,
 * neither it nor its engine can be reached, and whether its rank is armed stays unknown until the
 * VM resumes; a group whose coordinator froze at that point stalled for 4 s. When the VM of the
 * other agent freezes instead, the coordinator still runs, knows that it has armed no rank, and
 * releases the pass. For the same reason no rank is armed before all have answered after the hold.
 * The remaining case is a VM that freezes during the approximately 10 ms of arming.
 */

import type { Clock, EventLog, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { OrderOutcome, Placement, RankOrder } from '../types.js';
import { createArmingTime } from './arming-time.js';
import type { GroupPort, RetriedOutcome } from './group-port.js';
import { freshReports, retryAtAllRanks, retryOrder } from './group-port.js';
import { abortHeldPass } from './abort-held-pass.js';

/** Outcome of a map change. */
export type SwitchOutcome =
  'switched' | 'not-prepared' | 'not-held' | 'rank-silent' | 'aborted' | 'group-formed-anew';

/** Options of `createMapSwitch`. */
export interface SwitchOptions {
  port: GroupPort;
  /** The rank beside this coordinator, at which it holds passes. */
  ownRank: number;
  /**
   * Sends an order to the local rank through an agent on another VM; undefined when no other agent
   * is linked.
   */
  orderOwnRankViaPeer: (order: RankOrder) => Promise<OrderOutcome> | undefined;
  /** Current time of a pass, in ms; undefined before it is known. */
  passMs: () => number | undefined;
  /** Target for the longest pause in a stream, in ms; undefined if none is declared. */
  targetMs: number | undefined;
  clock: Clock;
  random: Random;
  log: EventLog;
}

/** One map change. */
export interface MapChange {
  epoch: number;
  version: number;
  placement: Placement;
  /** The map in use, which stays in use when the change is aborted. */
  current: Placement;
  /** Time that copying takes, in ms. */
  copyMs: number;
  /**
   * Whether the next pass is held: each pass with the current map is late, and stalling one until
   * all ranks are armed costs less than another one. Default: a later pass, by their duration.
   */
  holdsNextPass?: boolean;
}

/**
 * A held pass, and the time at which the report from which it was counted was read (monotonic, ms).
 */
interface HeldPass {
  step: number;
  countedAt: number;
  /**
   * Distance from the pass that ran at that time, in passes, and the expected time of each pass, in
   * ms.
   */
  passesAhead: number;
  passMs: number;
}

/**
 * Pause before the check that all ranks still answer, in ms; well below the time until the held
 * pass.
 */
const LIVENESS_CHECK_DELAY_MS = 15;
/** Assumed time of a pass before one is known, in ms. */
const DEFAULT_PASS_MS = 60;
/** Maximum number of attempts to hold a pass before it begins. */
const MAX_HOLD_ATTEMPTS = 3;
/** Pause between two attempts to abort a change while a rank can't be reached, in ms. */
const ABORT_RETRY_DELAY_MS = 40;

/**
 * Chooses the passes to hold. Each is above all earlier ones of the epoch, so that none is held
 * twice.
 */
const createHoldStepAllocator = () => {
  let last = { epoch: -1, step: -1 };
  return (epoch: number, step: number): number => {
    const next = last.epoch === epoch ? Math.max(step, last.step + 1) : step;
    last = { epoch, step: next };
    return next;
  };
};

/** Creates the function that changes the map of a coordinator's group. */
export const createMapSwitch = (options: SwitchOptions) => {
  const { port, ownRank, orderOwnRankViaPeer, clock, log } = options;
  const allocateHoldStep = createHoldStepAllocator();
  // After a hold through another agent went unanswered, the next one is sent directly. Otherwise a
  // group whose other agent can't reach the engine would never change its map.
  let usesPeer = true;
  const arming = createArmingTime();
  /** Time in which all ranks answered the last `prepare` order, in ms. */
  let orderMs = 0;

  const sendHold = async (epoch: number, step: number): Promise<RetriedOutcome | 'no-answer'> => {
    const order = { op: 'hold', epoch, step } as const;
    const viaPeer = usesPeer ? orderOwnRankViaPeer(order) : undefined;
    const outcome = await (viaPeer ?? retryOrder(port, clock, ownRank, order));
    usesPeer = outcome !== 'no-answer';
    return outcome;
  };

  const sendGo = (epoch: number, step: number): Promise<RetriedOutcome> =>
    retryOrder(port, clock, ownRank, { op: 'go', epoch, step });

  const hasReformed = (epoch: number): boolean => port.epoch() !== epoch;

  const prepareAll = async (change: MapChange): Promise<boolean> => {
    const { epoch, version, placement } = change;
    const startedAt = clock.monotonic();
    const giveUpAt = startedAt + change.copyMs + port.orderTimeoutMs();
    const order = { op: 'prepare', epoch, version, placement } as const;
    const outcomes = await retryAtAllRanks(port, clock, order, giveUpAt);
    orderMs = clock.monotonic() - startedAt;
    if (outcomes.some((outcome) => outcome !== 'done')) return false;
    return port.arePrepared(epoch, version, giveUpAt);
  };

  /** Releases a pass that is or may be held and for which no rank was armed. */
  const releaseIfHeld = async (epoch: number, step: number, reason: string): Promise<void> => {
    const ownReport = await port.report(ownRank);
    const isHeld = ownReport?.epoch === epoch && ownReport.held === step;
    log.event('pass-released', { epoch, step, isHeld, why: reason });
    if (isHeld) await sendGo(epoch, step);
  };

  const areAllRanksPrepared = async ({ epoch, version }: MapChange): Promise<boolean> => {
    await sleep(clock, LIVENESS_CHECK_DELAY_MS);
    const reports = await freshReports(port, epoch);
    return reports?.every(({ prepared }) => prepared === version) ?? false;
  };

  /** Holds a pass that has not begun; undefined when that fails. */
  const holdUpcomingPass = async ({
    epoch,
    holdsNextPass = false,
  }: MapChange): Promise<HeldPass | undefined> => {
    for (let attempt = 0; attempt < MAX_HOLD_ATTEMPTS; attempt += 1) {
      const report = await port.report(ownRank);
      const countedAt = clock.monotonic();
      if (!report || report.epoch !== epoch || report.held !== undefined) return undefined;
      const passMs = options.passMs() ?? DEFAULT_PASS_MS;
      const passesAhead = holdsNextPass
        ? 1
        : arming.passesAhead({ passMs, orderMs, targetMs: options.targetMs });
      const step = allocateHoldStep(epoch, report.step + passesAhead);
      const outcome = await sendHold(epoch, step);
      if (outcome === 'done') return { step, countedAt, passesAhead, passMs };
      if (outcome === 'no-answer') await releaseIfHeld(epoch, step, 'hold-unanswered');
      if (outcome !== 'refused') return undefined;
    }
    return undefined;
  };

  /** Aborts a change whose pass is held, and releases the pass with the map in use. */
  const abort = async (change: MapChange, step: number): Promise<SwitchOutcome> => {
    const { epoch, current } = change;
    while (!hasReformed(epoch)) {
      if (await abortHeldPass({ epoch, step, current }, options)) {
        await sendGo(epoch, step);
        return 'aborted';
      }
      await sleep(clock, ABORT_RETRY_DELAY_MS);
    }
    return 'group-formed-anew';
  };

  const armAndGo = async (change: MapChange, step: number): Promise<SwitchOutcome> => {
    const { epoch, version } = change;
    const armed = await retryAtAllRanks(port, clock, { op: 'arm', epoch, version, step });
    if (hasReformed(epoch)) return 'group-formed-anew';
    if (armed.every((outcome) => outcome === 'done')) {
      await sendGo(epoch, step);
      return 'switched';
    }
    const ownReport = await port.report(ownRank);
    // Another coordinator has armed the remaining ranks and released the pass: the change is made.
    if (ownReport?.epoch === epoch && ownReport.map === version) return 'switched';
    return abort(change, step);
  };

  return async (change: MapChange): Promise<SwitchOutcome> => {
    const startedAt = clock.monotonic();
    const elapsed = (): number => Math.round(clock.monotonic() - startedAt);
    const { epoch, version } = change;
    const isReady = await prepareAll(change);
    if (hasReformed(epoch)) return 'group-formed-anew';
    if (!isReady) return 'not-prepared';
    const preparedMs = elapsed();
    const held = await holdUpcomingPass(change);
    if (!held) return 'not-held';
    const { step, countedAt, passesAhead } = held;
    const passMs = Math.round(held.passMs);
    const heldMs = elapsed();
    if (!(await areAllRanksPrepared(change))) {
      await releaseIfHeld(epoch, step, 'rank-silent');
      return 'rank-silent';
    }
    const outcome = await armAndGo(change, step);
    // Measured from the report because passes begin while the hold is in flight, too.
    if (outcome === 'switched') arming.record(clock.monotonic() - countedAt);
    const times = { preparedMs, heldMs, ms: elapsed(), lead: passesAhead, passMs };
    log.event('map-switch', { epoch, version, step, outcome, ...times });
    return outcome;
  };
};
