import { decisionOf } from './decision.js';
import type { EngineVotes } from './engine-votes.js';
import type { Decision, Vote } from './messages.js';
import type { GroupMemberOptions, GroupTimings } from './types.js';

/** Longest pause between two rounds of asking, in milliseconds. */
const MAX_PAUSE_MS = 1_000;

/** Agents of a group that on average come to ask in each `askAfterMs`, if none is told before. */
const ASKERS = 2;

/** Ends every change that is armed here, whatever became of its coordinator. */
export interface Settlements {
  /** Starts to settle an armed version; no effect when that is under way. */
  settle(version: number): void;
  /** Hands on a decision that came by message. */
  decide(version: number, decision: Decision): void;
  undecided(): number[];
  close(): void;
}

interface Pending {
  decision: Decision | undefined;
  wake: () => void;
}

/** Creates the settlements of one agent. */
export const createSettlements = (
  options: GroupMemberOptions,
  timings: GroupTimings,
  votes: EngineVotes,
): Settlements => {
  const { clock, random, metrics, engine, logger } = options;
  const pending = new Map<number, Pending>();
  let closed = false;

  const pause = (entry: Pending, ms: number): Promise<void> =>
    new Promise((resolve) => {
      const cancel = clock.after(ms, resolve);
      Object.assign(entry, {
        wake: () => {
          cancel();
          resolve();
        },
      });
    });

  const isHolding = async (): Promise<boolean> => {
    const state = await engine.state();
    return state?.ranks.some(({ holding }) => holding) ?? false;
  };

  const askOne = async (node: string, version: number): Promise<Vote> => {
    const reply = await options.call(node, 'experts.outcome', { version }, timings.callMs);
    if (reply.outcome === 'answered') return reply.value as Vote;
    return { vote: 'unknown', ranks: [] };
  };

  const askAll = async (version: number): Promise<Decision | undefined> => {
    metrics.count('expert_outcome_rounds');
    const others = options.members().filter(({ node }) => node !== options.node);
    const own = await votes.vote(version);
    const theirs = await Promise.all(others.map(({ node }) => askOne(node, version)));
    return decisionOf([own, ...theirs], options.rankCount);
  };

  // Without this, all ranks would ask all: one of the first to ask tells the rest.
  const spreadMs = (): number =>
    timings.askAfterMs * Math.max(1, options.members().length / ASKERS) * random();

  const tellOthers = (version: number, decision: Decision): void => {
    options
      .members()
      .filter(({ node }) => node !== options.node)
      .forEach(({ node }) => {
        void options.call(node, 'experts.decide', { version, decision }, timings.callMs);
      });
  };

  // Asking makes ranks refuse that have not been armed yet, so it waits until this rank stands
  // still, or until so long after that no arm order can be on its way.
  const waitToAsk = async (entry: Pending): Promise<void> => {
    const latest = clock.monotonic() + timings.watchMs;
    while (!closed && entry.decision === undefined && clock.monotonic() < latest) {
      await pause(entry, timings.askAfterMs);
      if (entry.decision === undefined && (await isHolding())) break;
    }
    if (entry.decision === undefined) await pause(entry, spreadMs());
  };

  const decideByAsking = async (entry: Pending, version: number): Promise<Decision | undefined> => {
    await waitToAsk(entry);
    let wait = timings.askAfterMs;
    while (!closed && entry.decision === undefined) {
      const decision = await askAll(version);
      if (decision) tellOthers(version, decision);
      if (decision) return decision;
      await pause(entry, wait * (1 + random()));
      wait = Math.min(wait * 2, MAX_PAUSE_MS);
    }
    return entry.decision;
  };

  const run = async (entry: Pending, version: number): Promise<void> => {
    const decision = await decideByAsking(entry, version);
    while (!closed && decision && !(await votes.apply(version, decision))) {
      metrics.count('expert_engine_retries', { order: decision });
      await pause(entry, timings.askAfterMs);
    }
    pending.delete(version);
    if (decision) metrics.count('expert_changes_settled', { decision });
    logger.debug(`map ${version}: ${decision ?? 'left undecided'}`);
  };

  return {
    settle: (version) => {
      if (pending.has(version) || closed) return;
      const entry: Pending = { decision: undefined, wake: () => {} };
      pending.set(version, entry);
      void run(entry, version);
    },
    decide: (version, decision) => {
      const entry = pending.get(version);
      if (!entry) return;
      entry.decision = decision;
      entry.wake();
    },
    undecided: () => [...pending.keys()],
    close: () => {
      closed = true;
      for (const entry of pending.values()) entry.wake();
    },
  };
};
