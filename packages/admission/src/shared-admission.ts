/**
 * Admission of the streams of one service, shared by all entries: requests wait for room by priority.
 * Load patterns: bursts of each class, a flooding organisation, a returning crowd, the loss of many upstreams.
 */

import { allocateRoom } from './allocation.js';
import { createArrivalRates } from './arrival-rates.js';
import { createAssumedSends, REPORT_AGE_MS } from './assumed-sends.js';
import { BEGUN_LEVEL, lateLevelOf } from './levels.js';
import { createPriorityQueue } from './priority-queue.js';
import type { PriorityItem } from './priority-queue.js';
import { createRecentValues } from './recent-values.js';
import { createReturnTimes } from './return-times.js';
import type {
  AdmissionTicket,
  AdmissionVerdict,
  ServiceRoom,
  SharedAdmission,
  SharedAdmissionOptions,
  StreamRequestInfo,
} from './shared-admission-types.js';
import { createWaitEstimates } from './wait-estimates.js';

/** Shortest wait before a refusal, in ms: some streams of a full service end within it. */
const MIN_WAIT_MS = 50;
/** How often waiting requests are considered, in ms: small against the targets, which are 400 ms and more. */
const TICK_MS = 20;
/** Quantile of the observed times to a first event that waiting leaves time for. */
const FIRST_EVENT_QUANTILE = 0.9;
/** Age up to which such a time counts, in ms, and how many are kept. */
const FIRST_EVENT_WINDOW = { ms: 1_000, samples: 256 };
/** Duration of a stream before one has ended, in ms, and the weight of the latest one. */
const DEFAULT_STREAM_MS = 2_500;
const STREAM_WEIGHT = 0.05;
/**
 * Time after its arrival at which a caller gives up a stream without an event, in ms. A request that can't meet its
 * target any more waits until its first event would come later.
 */
const GIVE_UP_MS = 2_000;
/** Multiple of the time that a request may wait beyond which its expected wait is in vain; the estimate is rough. */
const MAX_WAIT_MULTIPLE = 1.5;
/** Waiting requests ahead, for each entry, up to which the expected wait isn't considered. */
const MIN_BACKLOG = 8;
/**
 * Slots that are left free, as a multiple of the requests that others send unseen: with all slots in use, entries send
 * to engines that others have just filled, and the first event is late. On an emulated group most late streams were:
 * 18 with 4 and 16 with 7 per run with 15 entries, worth 0.956 and 0.962.
 */
const SLOT_MARGIN = 7;
/** Largest fraction of the slots that is left free for this reason. */
const MAX_SLOT_MARGIN = 0.1;

interface WaitingRequest extends PriorityItem {
  info: StreamRequestInfo;
  ticket: { state: 'waiting' | 'granted' | 'begun' | 'over'; grantedAt: number };
  stopTimer: () => void;
  settle: (verdict: AdmissionVerdict) => void;
}

/** Creates the admission of one service at one entry. */
export const createSharedAdmission = (options: SharedAdmissionOptions): SharedAdmission => {
  const { clock, random, room, entries } = options;
  const queue = createPriorityQueue<WaitingRequest>();
  const rates = createArrivalRates(clock);
  const returnTimes = createReturnTimes(clock, random);
  const firstEvents = createRecentValues(clock, FIRST_EVENT_WINDOW.ms, FIRST_EVENT_WINDOW.samples);
  const assumed = createAssumedSends(clock);
  let streamMs = DEFAULT_STREAM_MS;
  /** Requests that were granted and are not in flight yet. */
  let granted = 0;
  let stopTick: (() => void) | undefined;

  const estimates = createWaitEstimates({
    ...{ queue, rates, entries, waitingElsewhere: options.waitingElsewhere },
    streamMs: () => streamMs,
  });

  /** Divides the free part of a capacity among the levels, and between this entry and the others. */
  const allocate = (state: ServiceRoom, capacity: number) => {
    // Beyond these, a free slot may be taken by the time that a request arrives there.
    const unseen = (state.inFlight / streamMs) * REPORT_AGE_MS * (1 - 1 / entries());
    const margin = Math.min(MAX_SLOT_MARGIN * state.slots, SLOT_MARGIN * unseen);
    const usable = Math.min(capacity, state.slots - margin);
    const demands = estimates.demands(state);
    const free = usable - state.inFlight - granted - assumed.count();
    return { demands, ...allocateRoom(free, demands) };
  };

  const grant = (item: WaitingRequest): void => {
    item.stopTimer();
    granted += 1;
    Object.assign(item.ticket, { state: 'granted', grantedAt: clock.monotonic() });
    const waitedMs = clock.monotonic() - item.info.arrivedAt;
    item.settle({ outcome: 'send', waitedMs, isReturning: item.isReturning });
  };

  const refuse = (item: WaitingRequest, reason: 'wait-over' | 'queue-full'): void => {
    item.stopTimer();
    Object.assign(item.ticket, { state: 'over' });
    const { info, organisation, priority: level } = item;
    const { priority } = info;
    const backlog = estimates.backlogUpTo(level);
    const state = room();
    const { inFlight, target, slots, ageMs } = state;
    const retryAfterMs = returnTimes.assign({
      ...{ id: info.id, organisation, priority, entries: entries() },
      remainingMs: Math.max(0, info.deadlineAt - clock.monotonic()),
      ahead: estimates.backlogUpTo(priority),
      drainPerMs: estimates.drainFor(state, priority),
    });
    const waitCause = inFlight + granted < slots ? 'pace-too-slow' : 'upstreams-full';
    const cause = reason === 'queue-full' ? reason : waitCause;
    const inputs = { backlog, inFlight, room: target, roomAgeMs: ageMs, priority };
    item.settle({ outcome: 'refused', reason: cause, retryAfterMs, inputs });
  };

  /** Sends as many waiting requests as this entry's part of the free room allows. */
  const dispatch = (): void => {
    if (queue.size() === 0) return;
    const state = room();
    const { demands, own, elsewhere } = allocate(state, state.target);
    assumed.add(elsewhere);
    demands.forEach(({ level }, at) => {
      const share = own[at] ?? 0;
      // Rounded at random, so that many entries with a fraction each send as many as there is room.
      const count = Math.floor(share) + (random() < share % 1 ? 1 : 0);
      for (let n = 0; n < count; n += 1) {
        const item = queue.pop(level);
        if (item) grant(item);
      }
    });
  };

  const tick = (): void => {
    stopTick = undefined;
    dispatch();
    if (queue.size() > 0) stopTick = clock.after(TICK_MS, tick);
  };

  /** Ends the wait of a request: it is sent if no stream in flight exceeds its target by that, or else refused. */
  const expire = (item: WaitingRequest): void => {
    const state = room();
    const { demands, own } = allocate(state, state.max);
    const at = demands.findIndex(({ level }) => level === item.priority);
    const chance = (own[at] ?? 0) / Math.max(1, demands[at]?.own ?? 1);
    if (!queue.remove(item)) return;
    if (random() < chance) grant(item);
    else refuse(item, 'wait-over');
  };

  /** Time from sending a request until its first event, as observed, in ms. */
  const firstEventMs = (): number => firstEvents.quantile(FIRST_EVENT_QUANTILE) ?? 0;
  /** Until when a request can meet its target, and until when its caller waits for the first event. */
  const onTimeUntil = ({ arrivedAt, targetMs }: StreamRequestInfo): number =>
    arrivedAt + Math.max(MIN_WAIT_MS, targetMs - firstEventMs());
  const lateUntil = (info: StreamRequestInfo): number => {
    const { arrivedAt, deadlineAt } = info;
    const givesUpAt = Math.min(deadlineAt, arrivedAt + GIVE_UP_MS);
    return Math.max(onTimeUntil(info), givesUpAt - firstEventMs());
  };

  /** Whether a request would wait in vain behind the backlog; a smaller backlog then displaces a larger one's last. */
  const refuseIfTooMany = (item: WaitingRequest): boolean => {
    const { priority: level, organisation } = item;
    const total = estimates.backlogUpTo(level);
    if (total < MIN_BACKLOG * entries()) return false;
    // An entry with a small queue gets a small part of the room; refusing there would starve its callers.
    if (queue.size() < total / entries()) return false;
    const leftMs = Math.max(MIN_WAIT_MS, lateUntil(item.info) - clock.monotonic());
    if (estimates.waitMs(room(), item) <= MAX_WAIT_MULTIPLE * leftMs) return false;
    const last = queue.lastOf(level);
    const ownBacklog = queue.backlogOf(organisation, level) + item.cost;
    const isDisplacing =
      last !== undefined &&
      (item.isReturning
        ? !last.isReturning
        : queue.backlogOf(last.organisation, level) > ownBacklog);
    if (!last || !isDisplacing) {
      refuse(item, 'queue-full');
      return true;
    }
    queue.remove(last);
    refuse(last, 'queue-full');
    return false;
  };

  /** Queues a request that can't meet its target any more behind those that can. */
  const waitAsLate = (item: WaitingRequest): void => {
    Object.assign(item, { priority: lateLevelOf(item.info.priority) });
    const leftMs = lateUntil(item.info) - clock.monotonic();
    if (leftMs <= 0 || room().slots === 0) {
      queue.push(item);
      expire(item);
      return;
    }
    if (refuseIfTooMany(item)) return;
    queue.push(item);
    Object.assign(item, { stopTimer: clock.after(leftMs, () => expire(item)) });
  };

  const ticketOf = (item: WaitingRequest): AdmissionTicket => {
    const { ticket } = item;
    return {
      cancel: () => {
        if (ticket.state !== 'waiting') return;
        item.stopTimer();
        ticket.state = 'over';
        queue.remove(item);
      },
      recordBegun: () => {
        if (ticket.state !== 'granted') return;
        ticket.state = 'begun';
        granted -= 1;
      },
      recordEnded: (isComplete) => {
        if (ticket.state === 'granted') granted -= 1;
        if (ticket.state === 'begun' && isComplete) {
          streamMs += STREAM_WEIGHT * (clock.monotonic() - ticket.grantedAt - streamMs);
        }
        ticket.state = 'over';
      },
    };
  };

  /** Queues a request, or refuses it at once where it would wait in vain. */
  const enqueue = (item: WaitingRequest): void => {
    const leftMs = onTimeUntil(item.info) - clock.monotonic();
    if (item.info.hasBegun) {
      queue.push(item);
      const waitMs = Math.max(0, lateUntil(item.info) - clock.monotonic());
      Object.assign(item, { stopTimer: clock.after(waitMs, () => expire(item)) });
    } else if (leftMs <= 0) {
      waitAsLate(item);
    } else {
      rates.record(item.priority);
      if (refuseIfTooMany(item)) return;
      queue.push(item);
      // A first attempt is refused instead of served late: its caller returns once, first in its class.
      const handleTargetMissed = (): void => {
        if (item.info.elapsedMs === 0) expire(item);
        else if (queue.remove(item)) waitAsLate(item);
      };
      Object.assign(item, { stopTimer: clock.after(leftMs, handleTargetMissed) });
    }
  };

  return {
    offer: (info, settle) => {
      const now = clock.monotonic();
      const item: WaitingRequest = {
        id: info.id,
        organisation: info.organisation,
        cost: 1,
        deadline: info.arrivedAt + info.targetMs,
        priority: info.hasBegun ? BEGUN_LEVEL : info.priority,
        isReturning: info.elapsedMs > 0 && returnTimes.isDue(info),
        info,
        ticket: { state: 'waiting', grantedAt: now },
        stopTimer: () => {},
        settle,
      };
      const ticket = ticketOf(item);
      if (info.hasBegun && room().inFlight + granted < room().slots) {
        grant(item);
        return ticket;
      }
      enqueue(item);
      dispatch();
      if (queue.size() > 0) stopTick ??= clock.after(TICK_MS, tick);
      return ticket;
    },
    recordFirstEvent: firstEvents.record,
    waiting: () =>
      Object.fromEntries(queue.priorities().map((priority) => [priority, queue.waiting(priority)])),
    streamMs: () => streamMs,
    size: queue.size,
    close: () => stopTick?.(),
  };
};
