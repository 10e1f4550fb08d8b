import { sleep } from '@plantaindrum/common';
import { decisionOf } from '../decision.js';
import type { ArmArgs, Decision, HeartbeatAnswer, Vote } from '../messages.js';
import { defaultTimings } from '../types.js';
import type { CoordinatorOptions, ExpertMapDocument, GroupTimings } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { isOvertaken, isRefused } from './group-calls.js';

/**
 * Outcome of a change as its coordinator knows it; an `unsettled` one is resolved by the agents.
 */
export type ChangeOutcome =
  'switched' | 'aborted' | 'not-prepared' | 'yielded' | 'overtaken' | 'unsettled';

/** Margin between the choice of the armed step and the step itself, in round trips. */
const MARGIN_ROUND_TRIPS = 4;
/** Additional margin, in steps. */
const MARGIN_STEPS = 4;
/** Rounds of queries for votes before a change is left to the agents. */
const VOTE_ROUNDS = 5;

/** A change of a group's map. */
export interface Change {
  fence: number;
  map: ExpertMapDocument;
  nodes: readonly string[];
}

type PrepareOutcome = 'prepared' | 'not-prepared' | 'yielded' | 'overtaken';

/** Runs a job for each node with limited concurrency; starts no more after one has failed. */
const runConcurrently = async (
  nodes: readonly string[],
  concurrency: number,
  job: (node: string) => Promise<PrepareOutcome>,
): Promise<PrepareOutcome> => {
  const queue = [...nodes];
  let result: PrepareOutcome = 'prepared';
  const runNext = async (): Promise<void> => {
    for (let node = queue.shift(); node !== undefined; node = queue.shift()) {
      const outcome = await job(node);
      if (outcome !== 'prepared') result = outcome;
      if (result !== 'prepared') return;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runNext));
  return result;
};

/** Makes all engines load the weights, few at a time, so that groups share the store evenly. */
const prepareAll = (
  options: CoordinatorOptions,
  calls: GroupCalls,
  timings: GroupTimings,
  { fence, map, nodes }: Change,
): Promise<PrepareOutcome> => {
  const { clock, metrics } = options;
  const deadline = clock.monotonic() + timings.prepareMs;
  const args = { fence, version: map.version, map };

  const prepareOne = async (node: string): Promise<PrepareOutcome> => {
    while (clock.monotonic() < deadline) {
      if (!options.mayMove()) {
        metrics.count('expert_moves_deferred', { reason: 'live-traffic' });
        await sleep(clock, timings.heartbeatMs);
        continue;
      }
      const answer = await calls.call(node, 'experts.prepare', args, timings.prepareCallMs);
      if (isOvertaken([answer])) return 'overtaken';
      if (isRefused(answer)) return 'not-prepared';
      if (answer) return 'prepared';
      metrics.count('expert_prepare_retries');
      await sleep(clock, timings.askAfterMs);
    }
    return options.mayMove() ? 'not-prepared' : 'yielded';
  };
  return runConcurrently(nodes, timings.loaders, prepareOne);
};

/** Chooses a step far enough ahead for two rounds of messages. */
const chooseArmedStep = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  { fence, nodes }: Change,
): Promise<number | undefined> => {
  const { clock } = options;
  const start = clock.monotonic();
  const replies = await calls.callAll<HeartbeatAnswer>(nodes, 'experts.heartbeat', { fence });
  const roundTripMs = clock.monotonic() - start;
  const ranks = [...replies.values()].flatMap((reply) =>
    reply && !isRefused(reply) ? reply.ranks : [],
  );
  if (ranks.length < options.layout.rankCount) return undefined;
  const step = Math.max(...ranks.map((rank) => rank.step));
  const stepMs = Math.max(1, ...ranks.map((rank) => rank.stepTimeUs / 1000));
  return step + MARGIN_STEPS + Math.ceil((MARGIN_ROUND_TRIPS * roundTripMs) / stepMs);
};

const asVote = (answer: unknown): Vote =>
  answer && !isRefused(answer) ? (answer as Vote) : { vote: 'unknown', ranks: [] };

const armAll = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  timings: GroupTimings,
  { nodes }: Change,
  args: ArmArgs,
): Promise<Decision | undefined> => {
  const { rankCount } = options.layout;
  const armed = await calls.callAll<Vote>(nodes, 'experts.arm', args);
  let votes = [...armed.values()].map(asVote);
  for (let round = 0; round < VOTE_ROUNDS; round += 1) {
    const decision = decisionOf(votes, rankCount);
    if (decision) return decision;
    await sleep(options.clock, timings.askAfterMs);
    const { version } = args;
    const queried = await calls.callAll<Vote>(nodes, 'experts.outcome', { version });
    votes = [...queried.values()].map(asVote);
  }
  return decisionOf(votes, rankCount);
};

/**
 * Changes a group's map: prepares and arms it at all agents for the same step, and sends them the
 * decision that follows from their votes. The group doesn't depend on this task to agree: agents of
 * ranks that hold query each other, so the coordinator may be lost or replaced at any point.
 */
export const runChange = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  change: Change,
): Promise<ChangeOutcome> => {
  const timings = { ...defaultTimings, ...options.timings };
  const { fence, map, nodes } = change;
  const { version } = map;
  const abort = async <T extends ChangeOutcome>(outcome: T): Promise<T> => {
    await calls.callAll(nodes, 'experts.decide', { version, decision: 'abort' });
    return outcome;
  };

  const prepared = await prepareAll(options, calls, timings, change);
  if (prepared === 'overtaken') return prepared;
  if (prepared !== 'prepared') return abort(prepared);
  const atStep = await chooseArmedStep(options, calls, change);
  if (atStep === undefined) return abort('not-prepared');

  const decision = await armAll(options, calls, timings, change, { fence, version, atStep });
  if (!decision) return 'unsettled';
  await calls.callAll(nodes, 'experts.decide', { version, decision });
  return decision === 'switch' ? 'switched' : 'aborted';
};
