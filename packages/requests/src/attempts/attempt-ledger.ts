import type { AttemptId } from '@plantaindrum/link';
import type { InstanceLedger } from './instance-ledger.js';
import { createInstanceLedger } from './instance-ledger.js';
import type { AttemptLedger, QueryDecision } from './types.js';

/** Limits of a ledger. */
export interface AttemptLedgerOptions {
  /** Ended attempts and tombstones kept for each entry instance. */
  closedPerInstance?: number;
  /** Entry instances kept; the one unused for longest goes first. */
  instances?: number;
}

const DEFAULT_CLOSED = 4_096;
const DEFAULT_INSTANCES = 4_096;

/** Splits an attempt id into the entry's instance and its counter. */
export const parseAttemptId = (id: AttemptId): { instance: string; counter: number } => {
  const split = id.lastIndexOf(':');
  return { instance: id.slice(0, split), counter: Number(id.slice(split + 1)) };
};

/** Creates the agent's record of attempts. */
export const createAttemptLedger = (options: AttemptLedgerOptions = {}): AttemptLedger => {
  const closedLimit = options.closedPerInstance ?? DEFAULT_CLOSED;
  const instanceLimit = options.instances ?? DEFAULT_INSTANCES;
  /** In the order of last use. */
  const instances = new Map<string, InstanceLedger>();

  const forgetIdleInstance = () => {
    if (instances.size < instanceLimit) return;
    const idle = [...instances].find(([, ledger]) => ledger.isIdle());
    if (idle) instances.delete(idle[0]);
  };

  const ledgerOf = (instance: string): InstanceLedger => {
    const found = instances.get(instance);
    if (!found) forgetIdleInstance();
    const ledger = found ?? createInstanceLedger(closedLimit);
    instances.delete(instance);
    instances.set(instance, ledger);
    return ledger;
  };

  const locate = (id: AttemptId) => {
    const { instance, counter } = parseAttemptId(id);
    const ledger = ledgerOf(instance);
    return { ledger, counter, state: ledger.state(counter) };
  };

  /** Closes an attempt if it is in the state `from`. */
  const closeFrom = (
    id: AttemptId,
    from: 'queued' | 'started',
    outcome: 'answered' | 'not-run' | 'unknown',
  ): boolean => {
    const { ledger, counter, state } = locate(id);
    if (state !== from) return false;
    ledger.close(counter, outcome);
    return true;
  };

  return {
    dispatch: (id) => {
      const { ledger, counter, state } = locate(id);
      if (state === 'not-run') return 'refuse-tombstone';
      if (state) return 'duplicate';
      if (ledger.isForgotten(counter)) return 'refuse-forgotten';
      ledger.open(counter, 'queued');
      return 'accept';
    },
    start: (id) => {
      const { ledger, counter, state } = locate(id);
      if (state !== 'queued') return false;
      ledger.open(counter, 'started');
      return true;
    },
    refuse: (id) => closeFrom(id, 'queued', 'not-run'),
    end: (id, outcome) => closeFrom(id, 'started', outcome),
    endUnsent: (id) => closeFrom(id, 'started', 'not-run'),
    cancel: (id) => {
      const { ledger, counter, state } = locate(id);
      if (state === 'started') return 'stop-upstream';
      if (state && state !== 'queued') return 'ended';
      if (ledger.isForgotten(counter)) return 'ended';
      // Also for an id not seen yet: a cancel can overtake its dispatch on another link, and the
      // dispatch must not start afterwards.
      ledger.close(counter, 'not-run');
      return 'not-run';
    },
    query: (id): QueryDecision => {
      const { ledger, counter, state } = locate(id);
      if (state) return state;
      if (ledger.isForgotten(counter)) return 'unknown';
      // The dispatch was lost with its link, or is still in flight there: the tombstone makes the
      // answer "not run" true for good.
      ledger.close(counter, 'not-run');
      return 'not-run';
    },
    state: (id) => locate(id).state,
    size: () => [...instances.values()].reduce((sum, ledger) => sum + ledger.size(), 0),
  };
};
