import { sleep } from '@plantaindrum/common';
import { decisionOf } from '../decision.js';
import type { ArmArgs, Decision, HeartbeatAnswer, Vote } from '../messages.js';
import { defaultTimings } from '../types.js';
import type { CoordinatorOptions, ExpertMapDocument, GroupTimings } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { isOvertaken, isRefused } from './group-calls.js';

/** How a change ended, as far as its coordinator knows; `unsettled` is left to the agents. */
export type ChangeOutcome =
  'switched' | 'aborted' | 'not-prepared' | 'yielded' | 'overtaken' | 'unsettled';

/** Round trips between the call for the armed step and its coming. */
const MARGIN_ROUNDS = 4;
/** Steps between them at least. */
const MARGIN_STEPS = 4;
/** Rounds of asking for votes before a change is left to the agents. */
const VOTE_ROUNDS = 5;

/** One change of a group's map. */
export interface Change {
  fence: number;
  map: ExpertMapDocument;
  nodes: readonly string[];
}

type Prepared = 'prepared' | 'not-prepared' | 'yielded' | 'overtaken';

/** Runs jobs over nodes, so many at a time; stops handing out nodes after a bad result. */
const inTurns = async (
  nodes: readonly string[],
  width: number,
  job: (node: string) => Promise<Prepared>,
): Promise<Prepared> => {
  const queue = [...nodes];
  let result: Prepared = 'prepared';
  const work = async (): Promise<void> => {
    for (let node = queue.shift(); node !== undefined; node = queue.shift()) {
      const one = await job(node);
      if (one !== 'prepared') result = one;
      if (result !== 'prepared') return;
    }
  };
  await Promise.all(Array.from({ length: width }, work));
  return result;
};

/** Has all engines load the weights; few at a time, so that groups share the store evenly. */
const prepareAll = (
  options: CoordinatorOptions,
  calls: GroupCalls,
  timings: GroupTimings,
  { fence, map, nodes }: Change,
): Promise<Prepared> => {
  const { clock, metrics } = options;
  const deadline = clock.monotonic() + timings.prepareMs;
  const args = { fence, version: map.version, map };

  const prepareOne = async (node: string): Promise<Prepared> => {
    while (clock.monotonic() < deadline) {
      if (!options.mayMove()) {
        metrics.count('expert_moves_deferred', { reason: 'live-traffic' });
        await sleep(clock, timings.heartbeatMs);
        continue;
      }
      const answer = await calls.ask(node, 'experts.prepare', args, timings.prepareCallMs);
      if (isOvertaken([answer])) return 'overtaken';
      if (isRefused(answer)) return 'not-prepared';
      if (answer) return 'prepared';
      metrics.count('expert_prepare_retries');
      await sleep(clock, timings.askAfterMs);
    }
    return options.mayMove() ? 'not-prepared' : 'yielded';
  };
  return inTurns(nodes, timings.loaders, prepareOne);
};

/** A step that lies far enough ahead for two rounds of messages. */
const chooseStep = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  { fence, nodes }: Change,
): Promise<number | undefined> => {
  const { clock } = options;
  const start = clock.monotonic();
  const beats = await calls.askAll<HeartbeatAnswer>(nodes, 'experts.heartbeat', { fence });
  const roundMs = clock.monotonic() - start;
  const ranks = [...beats.values()].flatMap((beat) => (beat && !isRefused(beat) ? beat.ranks : []));
  if (ranks.length < options.layout.rankCount) return undefined;
  const step = Math.max(...ranks.map((rank) => rank.step));
  const stepMs = Math.max(1, ...ranks.map((rank) => rank.stepTimeUs / 1000));
  return step + MARGIN_STEPS + Math.ceil((MARGIN_ROUNDS * roundMs) / stepMs);
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
  const arms = await calls.askAll<Vote>(nodes, 'experts.arm', args);
  let votes = [...arms.values()].map(asVote);
  for (let round = 0; round < VOTE_ROUNDS; round += 1) {
    const decision = decisionOf(votes, rankCount);
    if (decision) return decision;
    await sleep(options.clock, timings.askAfterMs);
    const { version } = args;
    const asked = await calls.askAll<Vote>(nodes, 'experts.outcome', { version });
    votes = [...asked.values()].map(asVote);
  }
  return decisionOf(votes, rankCount);
};

/**
 * Changes a group's map: prepare everywhere, arm everywhere at one step, and hand on what the
 * votes decide. Nothing here is needed for the group to agree: ranks that hold ask each other, so
 * this task may die, or be overtaken, between any two lines.
 */
export const runChange = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  change: Change,
): Promise<ChangeOutcome> => {
  const timings = { ...defaultTimings, ...options.timings };
  const { fence, map, nodes } = change;
  const { version } = map;
  const giveUp = async <T extends ChangeOutcome>(outcome: T): Promise<T> => {
    await calls.askAll(nodes, 'experts.decide', { version, decision: 'abort' });
    return outcome;
  };

  const prepared = await prepareAll(options, calls, timings, change);
  if (prepared === 'overtaken') return prepared;
  if (prepared !== 'prepared') return giveUp(prepared);
  const atStep = await chooseStep(options, calls, change);
  if (atStep === undefined) return giveUp('not-prepared');

  const decision = await armAll(options, calls, timings, change, { fence, version, atStep });
  if (!decision) return 'unsettled';
  await calls.askAll(nodes, 'experts.decide', { version, decision });
  return decision === 'switch' ? 'switched' : 'aborted';
};
