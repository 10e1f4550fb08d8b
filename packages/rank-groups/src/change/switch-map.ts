/**
 * The change of a group's map by orders that may be lost, or carried out seconds late.
 *
 * What must hold: when a pass begins, all ranks use the same map. A rank's map changes only where
 * it is armed for a pass that begins. So for each pass S: when S begins, either all ranks are armed
 * for S with one version, or none is.
 *
 * 1. `prepare` a version that no other map bears, on all ranks, and see it prepared on all. A rank
 *    keeps one prepared version, and refuses others while it is armed.
 * 2. `hold` a pass S at this coordinator's own rank, given by the agent of another VM. No rank begins
 *    S before `go` S at that rank. Without an answer the change ends here, with no rank armed.
 * 3. See that every rank still answers, and `arm` the version for S on all, until each has said yes.
 * 4. `go` S, only when all are armed or none can ever be.
 *
 * An order that arrives late does no harm. A late `arm` finds S begun and is refused, or finds the
 * rank armed with the same version for the same S. A late `hold` finds S begun, or holds a pass
 * that `settle` lets go. A late `go` S can only be one that was sent when S was allowed to begin, S is not
 * used again in the epoch by this coordinator, and others hold at ranks of their own. A late
 * `prepare` is of a version that the rank has had. A late `disarm` is of a version that is never
 * armed again. In another epoch all of them are refused.
 *
 * Two coordinators do no harm either: a rank that is armed refuses to prepare, so only one version
 * can be armed everywhere, and a hold is released only by whoever sees its pass settled. Nobody else arms a
 * pass at which no rank is armed (see `settle.ts`), so a coordinator that has armed none may let it go.
 *
 * Why another VM gives the hold: a VM that stops right after it has given one can't be reached, nor
 * its engine, and whether its rank is armed stays unknown until it wakes; a group whose coordinator
 * froze there stood still for 4 s. The coordinator is still there when its helper freezes, knows that
 * it has armed nobody, and lets the pass begin. For the same reason no rank is armed before all have
 * answered since the hold. What is left: a VM that freezes in the some 10 ms of arming.
 */

import type { Clock, EventLog, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { OrderOutcome, Placement, RankOrder } from '../types.js';
import { createArmingTime } from './arming-time.js';
import type { GroupPort, RetriedOutcome } from './group-port.js';
import { freshReports, retryAtAllRanks, retryOrder } from './group-port.js';
import { withdrawPass } from './withdraw.js';

/** How a change ended. */
export type SwitchOutcome =
  'switched' | 'not-prepared' | 'not-held' | 'rank-silent' | 'aborted' | 'group-formed-anew';

/** What a change needs. */
export interface SwitchOptions {
  port: GroupPort;
  /** The rank beside this coordinator, at which it holds passes. */
  ownRank: number;
  /** Gives an order to the own rank from another VM; undefined when no other agent is linked. */
  orderOwnFromAfar: (order: RankOrder) => Promise<OrderOutcome> | undefined;
  /** Time of a pass at present, in ms; undefined before it is known. */
  passMs: () => number | undefined;
  /** Longest pause that the group's streams are to have, in ms; undefined where none is declared. */
  targetMs: number | undefined;
  clock: Clock;
  random: Random;
  log: EventLog;
}

/** One change. */
export interface MapChange {
  epoch: number;
  version: number;
  placement: Placement;
  /** The map in use, to which an aborted change goes back. */
  current: Placement;
  /** How long copying takes, in milliseconds. */
  copyMs: number;
}

/** A pass that is held, and when the report was read from which it was counted (monotonic, ms). */
interface HeldPass {
  step: number;
  countedAt: number;
  /** Passes between the one that ran then and this one, and the time that each was reckoned to take, in ms. */
  lead: number;
  passMs: number;
}

/** Pause before ranks are asked whether they are still there, in ms; well under the passes ahead. */
const STILL_THERE_MS = 15;
/** Time of a pass that is reckoned with before one is known, in ms. */
const USUAL_PASS_MS = 60;
/** Tries to hold a pass before it begins. */
const HOLD_TRIES = 3;
/** Pause between two tries to withdraw a change while a rank can't be reached, in ms. */
const WITHDRAW_AGAIN_MS = 40;

/** The highest pass that this process has held, by epoch: none is held twice. */
const createHeldSteps = () => {
  let last = { epoch: -1, step: -1 };
  return (epoch: number, step: number): number => {
    const next = last.epoch === epoch ? Math.max(step, last.step + 1) : step;
    last = { epoch, step: next };
    return next;
  };
};

/** Creates the way a coordinator changes its group's map. */
export const createMapSwitch = (options: SwitchOptions) => {
  const { port, ownRank, orderOwnFromAfar, clock, log } = options;
  const heldStep = createHeldSteps();
  // A helper that didn't get through is passed over once, or its group would never change its map.
  let asksHelper = true;
  const arming = createArmingTime();
  /** How long all ranks took to answer the last order to prepare, in ms. */
  let orderMs = 0;

  const giveHold = async (epoch: number, step: number): Promise<RetriedOutcome | 'no-answer'> => {
    const order = { op: 'hold', epoch, step } as const;
    const fromAfar = asksHelper ? orderOwnFromAfar(order) : undefined;
    const outcome = await (fromAfar ?? retryOrder(port, clock, ownRank, order));
    asksHelper = outcome !== 'no-answer';
    return outcome;
  };

  const letGo = (epoch: number, step: number): Promise<RetriedOutcome> =>
    retryOrder(port, clock, ownRank, { op: 'go', epoch, step });

  const isAnew = (epoch: number): boolean => port.epoch() !== epoch;

  const prepareAll = async (change: MapChange): Promise<boolean> => {
    const { epoch, version, placement } = change;
    const began = clock.monotonic();
    const giveUpAt = began + change.copyMs + port.patienceMs();
    const order = { op: 'prepare', epoch, version, placement } as const;
    const outcomes = await retryAtAllRanks(port, clock, order, giveUpAt);
    orderMs = clock.monotonic() - began;
    if (outcomes.some((outcome) => outcome !== 'done')) return false;
    return port.arePrepared(epoch, version, giveUpAt);
  };

  /** Lets a pass begin that is or may be held and for which no rank was armed. */
  const release = async (epoch: number, step: number, why: string): Promise<void> => {
    const own = await port.report(ownRank);
    const isHeld = own?.epoch === epoch && own.held === step;
    log.event('pass-released', { epoch, step, isHeld, why });
    if (isHeld) await letGo(epoch, step);
  };

  const isEveryRankThere = async ({ epoch, version }: MapChange): Promise<boolean> => {
    await sleep(clock, STILL_THERE_MS);
    const reports = await freshReports(port, epoch);
    return reports?.every(({ prepared }) => prepared === version) ?? false;
  };

  /** Holds a pass that has not begun; undefined when it can't be done. */
  const holdAhead = async (epoch: number): Promise<HeldPass | undefined> => {
    for (let tries = 0; tries < HOLD_TRIES; tries += 1) {
      const report = await port.report(ownRank);
      const countedAt = clock.monotonic();
      if (!report || report.epoch !== epoch || report.held !== undefined) return undefined;
      const passMs = options.passMs() ?? USUAL_PASS_MS;
      const lead = arming.lead({ passMs, orderMs, targetMs: options.targetMs });
      const step = heldStep(epoch, report.step + lead);
      const outcome = await giveHold(epoch, step);
      if (outcome === 'done') return { step, countedAt, lead, passMs };
      if (outcome === 'no-answer') await release(epoch, step, 'hold-unanswered');
      if (outcome !== 'refused') return undefined;
    }
    return undefined;
  };

  /** Gives a change up whose pass is held, and lets the pass begin with the map in use. */
  const abort = async (change: MapChange, step: number): Promise<SwitchOutcome> => {
    const { epoch, current } = change;
    while (!isAnew(epoch)) {
      if (await withdrawPass({ epoch, step, current }, options)) {
        await letGo(epoch, step);
        return 'aborted';
      }
      await sleep(clock, WITHDRAW_AGAIN_MS);
    }
    return 'group-formed-anew';
  };

  const armAndGo = async (change: MapChange, step: number): Promise<SwitchOutcome> => {
    const { epoch, version } = change;
    const armed = await retryAtAllRanks(port, clock, { op: 'arm', epoch, version, step });
    if (isAnew(epoch)) return 'group-formed-anew';
    if (armed.every((outcome) => outcome === 'done')) {
      await letGo(epoch, step);
      return 'switched';
    }
    const own = await port.report(ownRank);
    // Somebody else has armed the rest and let the pass begin: the change is made.
    if (own?.epoch === epoch && own.map === version) return 'switched';
    return abort(change, step);
  };

  return async (change: MapChange): Promise<SwitchOutcome> => {
    const startedAt = clock.monotonic();
    const elapsed = (): number => Math.round(clock.monotonic() - startedAt);
    const { epoch, version } = change;
    const isReady = await prepareAll(change);
    if (isAnew(epoch)) return 'group-formed-anew';
    if (!isReady) return 'not-prepared';
    const preparedMs = elapsed();
    const held = await holdAhead(epoch);
    if (!held) return 'not-held';
    const { step, countedAt, lead } = held;
    const passMs = Math.round(held.passMs);
    const heldMs = elapsed();
    if (!(await isEveryRankThere(change))) {
      await release(epoch, step, 'rank-silent');
      return 'rank-silent';
    }
    const outcome = await armAndGo(change, step);
    // From the report on, passes go by, also while the hold is on its way.
    if (outcome === 'switched') arming.note(clock.monotonic() - countedAt);
    const times = { preparedMs, heldMs, ms: elapsed(), lead, passMs };
    log.event('map-switch', { epoch, version, step, outcome, ...times });
    return outcome;
  };
};
