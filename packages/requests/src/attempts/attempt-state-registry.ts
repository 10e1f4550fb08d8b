import type { AttemptId } from '@plantaindrum/link';
import type { InstanceAttempts } from './instance-attempts.js';
import { createInstanceAttempts } from './instance-attempts.js';
import type { AttemptStateRegistry, QueryDecision } from './types.js';

/** Limits of the registry. */
export interface AttemptStateRegistryOptions {
  /** Largest number of ended attempts and tombstones kept for each entry instance. */
  closedPerInstance?: number;
  /** Largest number of entry instances kept; the least recently used idle one is evicted first. */
  instances?: number;
}

const DEFAULT_CLOSED_PER_INSTANCE = 4_096;
const DEFAULT_INSTANCES = 4_096;

/** Splits an attempt id into the entry's instance and its counter. */
export const parseAttemptId = (id: AttemptId): { instance: string; counter: number } => {
  const split = id.lastIndexOf(':');
  return { instance: id.slice(0, split), counter: Number(id.slice(split + 1)) };
};

/** Creates an empty registry. */
export const createAttemptStateRegistry = (
  options: AttemptStateRegistryOptions = {},
): AttemptStateRegistry => {
  const closedLimit = options.closedPerInstance ?? DEFAULT_CLOSED_PER_INSTANCE;
  const instanceLimit = options.instances ?? DEFAULT_INSTANCES;
  /** Ordered by last use. */
  const instances = new Map<string, InstanceAttempts>();

  const evictIdleInstance = () => {
    if (instances.size < instanceLimit) return;
    const idle = [...instances].find(([, attempts]) => attempts.isIdle());
    if (idle) instances.delete(idle[0]);
  };

  const attemptsOf = (instance: string): InstanceAttempts => {
    const found = instances.get(instance);
    if (!found) evictIdleInstance();
    const attempts = found ?? createInstanceAttempts(closedLimit);
    instances.delete(instance);
    instances.set(instance, attempts);
    return attempts;
  };

  const lookUp = (id: AttemptId) => {
    const { instance, counter } = parseAttemptId(id);
    const attempts = attemptsOf(instance);
    return { attempts, counter, state: attempts.state(counter) };
  };

  /** Closes an attempt if it is in the expected state. */
  const closeIfState = (
    id: AttemptId,
    expected: 'queued' | 'started',
    outcome: 'answered' | 'not-run' | 'unknown',
  ): boolean => {
    const { attempts, counter, state } = lookUp(id);
    if (state !== expected) return false;
    attempts.close(counter, outcome);
    return true;
  };

  return {
    dispatch: (id) => {
      const { attempts, counter, state } = lookUp(id);
      if (state === 'not-run') return 'refuse-tombstone';
      if (state) return 'duplicate';
      if (attempts.isForgotten(counter)) return 'refuse-forgotten';
      attempts.open(counter, 'queued');
      return 'accept';
    },
    start: (id) => {
      const { attempts, counter, state } = lookUp(id);
      if (state !== 'queued') return false;
      attempts.open(counter, 'started');
      return true;
    },
    refuse: (id) => closeIfState(id, 'queued', 'not-run'),
    end: (id, outcome) => closeIfState(id, 'started', outcome),
    endUnsent: (id) => closeIfState(id, 'started', 'not-run'),
    cancel: (id) => {
      const { attempts, counter, state } = lookUp(id);
      if (state === 'started') return 'stop-upstream';
      if (state && state !== 'queued') return 'ended';
      if (attempts.isForgotten(counter)) return 'ended';
      // Also for an id not seen yet: a cancel can arrive before its dispatch, which came over
      // another link and must not start afterwards.
      attempts.close(counter, 'not-run');
      return 'not-run';
    },
    query: (id): QueryDecision => {
      const { attempts, counter, state } = lookUp(id);
      if (state) return state;
      if (attempts.isForgotten(counter)) return 'unknown';
      // The dispatch was lost with its link or is still in flight. The tombstone keeps it from
      // starting later, so that `not-run` stays true.
      attempts.close(counter, 'not-run');
      return 'not-run';
    },
    state: (id) => lookUp(id).state,
    size: () => [...instances.values()].reduce((sum, attempts) => sum + attempts.size(), 0),
  };
};
