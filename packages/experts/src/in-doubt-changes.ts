import { decisionOf } from './decision.js';
import type { EngineVotes } from './engine-votes.js';
import type { Decision, Vote } from './messages.js';
import type { GroupMemberOptions, GroupTimings } from './types.js';

/** Longest delay between two rounds of queries, in milliseconds. */
const MAX_RETRY_DELAY_MS = 1_000;

/** Mean number of agents of a group that start to query within each `askAfterMs`. */
const EXPECTED_QUERIES = 2;

/** Resolves every change that is armed at this agent, even if its coordinator was lost. */
export interface InDoubtChanges {
  /** Starts resolving an armed version; no effect if it is already being resolved. */
  resolveChange(version: number): void;
  /** Applies a decision received from another agent. */
  decide(version: number, decision: Decision): void;
  /** Versions that are being resolved. */
  undecided(): number[];
  close(): void;
}

interface PendingChange {
  decision: Decision | undefined;
  wake: () => void;
}

/** Creates the record of one agent's in-doubt changes. */
export const createInDoubtChanges = (
  options: GroupMemberOptions,
  timings: GroupTimings,
  votes: EngineVotes,
): InDoubtChanges => {
  const { clock, random, metrics, engine, logger } = options;
  const pending = new Map<number, PendingChange>();
  let closed = false;

  const wait = (entry: PendingChange, ms: number): Promise<void> =>
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

  const queryVote = async (node: string, version: number): Promise<Vote> => {
    const reply = await options.call(node, 'experts.outcome', { version }, timings.callMs);
    if (reply.outcome === 'answered') return reply.value as Vote;
    return { vote: 'unknown', ranks: [] };
  };

  const queryVotes = async (version: number): Promise<Decision | undefined> => {
    metrics.count('expert_outcome_rounds');
    const others = options.members().filter(({ node }) => node !== options.node);
    const ownVote = await votes.vote(version);
    const otherVotes = await Promise.all(others.map(({ node }) => queryVote(node, version)));
    return decisionOf([ownVote, ...otherVotes], options.rankCount);
  };

  // The random delay keeps all agents from querying all others: the first one to learn the decision
  // broadcasts it to the rest.
  const randomDelayMs = (): number =>
    timings.askAfterMs * Math.max(1, options.members().length / EXPECTED_QUERIES) * random();

  const broadcastDecision = (version: number, decision: Decision): void => {
    options
      .members()
      .filter(({ node }) => node !== options.node)
      .forEach(({ node }) => {
        void options.call(node, 'experts.decide', { version, decision }, timings.callMs);
      });
  };

  // A query makes ranks refuse that are not armed yet. It therefore waits until this rank holds, or
  // until so late that no arm order can be in flight.
  const waitBeforeQuery = async (entry: PendingChange): Promise<void> => {
    const latestQueryAt = clock.monotonic() + timings.watchMs;
    while (!closed && entry.decision === undefined && clock.monotonic() < latestQueryAt) {
      await wait(entry, timings.askAfterMs);
      if (entry.decision === undefined && (await isHolding())) break;
    }
    if (entry.decision === undefined) await wait(entry, randomDelayMs());
  };

  const decideByQuery = async (
    entry: PendingChange,
    version: number,
  ): Promise<Decision | undefined> => {
    await waitBeforeQuery(entry);
    let retryDelayMs = timings.askAfterMs;
    while (!closed && entry.decision === undefined) {
      const decision = await queryVotes(version);
      if (decision) broadcastDecision(version, decision);
      if (decision) return decision;
      await wait(entry, retryDelayMs * (1 + random()));
      retryDelayMs = Math.min(retryDelayMs * 2, MAX_RETRY_DELAY_MS);
    }
    return entry.decision;
  };

  const resolveAndApply = async (entry: PendingChange, version: number): Promise<void> => {
    const decision = await decideByQuery(entry, version);
    while (!closed && decision && !(await votes.apply(version, decision))) {
      metrics.count('expert_engine_retries', { order: decision });
      await wait(entry, timings.askAfterMs);
    }
    pending.delete(version);
    if (decision) metrics.count('expert_changes_settled', { decision });
    logger.debug(`map ${version}: ${decision ?? 'still undecided'}`);
  };

  return {
    resolveChange: (version) => {
      if (pending.has(version) || closed) return;
      const entry: PendingChange = { decision: undefined, wake: () => {} };
      pending.set(version, entry);
      void resolveAndApply(entry, version);
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
