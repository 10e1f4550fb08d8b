import { sleep } from '@plantaindrum/common';
import { createEngineVotes } from './engine-votes.js';
import { recoverFence } from './fence-recovery.js';
import type {
  ArmArgs,
  DecideArgs,
  Fenced,
  FormArgs,
  HeartbeatAnswer,
  Lost,
  MapArgs,
  OutcomeArgs,
  PrepareArgs,
  Refused,
  RegisterArgs,
  Registered,
  ReportAnswer,
  Vote,
} from './messages.js';
import { createExclusive } from './mutex.js';
import { createSettlements } from './settlement.js';
import { sparseTokens } from './tokens.js';
import { defaultTimings } from './types.js';
import type {
  ExpertMapDocument,
  ExpertMethod,
  GroupMember,
  GroupMemberOptions,
  OrderOutcome,
} from './types.js';

/** Maps that are kept for a coordinator that takes over: the one in use and one in preparation. */
const KEPT_MAPS = 4;

type Answer<T> = T | Refused | Lost;

/** Creates the part of an agent that obeys the group's coordinator; see docs/decisions. */
export const createGroupMember = (options: GroupMemberOptions): GroupMember => {
  const { engine, clock, metrics, logger } = options;
  const timings = { ...defaultTimings, ...options.timings };
  const exclusive = createExclusive();
  const maps = new Map<number, ExpertMapDocument>();
  let fence: number | undefined;
  let heartbeatAt = clock.monotonic();
  let closed = false;

  const votes = createEngineVotes(engine, options.ranks, exclusive, () => fence);
  const settlements = createSettlements(options, timings, votes);

  const refuse = (reason: string): Refused => {
    metrics.count('expert_order_refusals', { reason });
    return { outcome: 'refused', reason, fence };
  };

  // Engines of some deployments take orders with any number, so the check must stand here too.
  const refusalOf = (args: Fenced): Refused | undefined => {
    if (fence === undefined) return refuse('fence-unknown');
    if (args.fence < fence) return refuse('old-fence');
    fence = args.fence;
    return undefined;
  };

  const answerTo = (order: OrderOutcome): Answer<{ outcome: 'done' }> =>
    order.outcome === 'refused' ? refuse(order.reason) : order;

  const keepMap = (map: ExpertMapDocument): void => {
    maps.delete(map.version);
    maps.set(map.version, map);
    const [oldest] = maps.keys();
    if (maps.size > KEPT_MAPS && oldest !== undefined) maps.delete(oldest);
  };

  // Runs in turn with the orders to the engine: once the answer is out, no order under a smaller
  // number is still on its way there.
  const register = (args: RegisterArgs): Promise<Answer<Registered>> =>
    exclusive(async () => {
      const refusal = refusalOf(args);
      if (refusal) return refusal;
      if ((args.expectInstance ?? options.instance) !== options.instance) {
        return refuse('restarted');
      }
      const state = await engine.state();
      return { outcome: 'registered', instance: options.instance, state };
    });

  const heartbeat = async (args: Fenced): Promise<Answer<HeartbeatAnswer>> => {
    const refusal = refusalOf(args);
    if (refusal?.reason === 'old-fence') return refusal;
    heartbeatAt = clock.monotonic();
    if (refusal) return refusal;
    const state = await engine.state();
    if (!state) return { outcome: 'lost' };
    const ranks = state.ranks.map(({ rank, step, version, armed, step_time_us: usPerStep }) => ({
      rank,
      step,
      version,
      armed: armed?.version ?? null,
      stepTimeUs: usPerStep,
    }));
    return { outcome: 'ok', instance: options.instance, ranks };
  };

  const report = async (args: Fenced): Promise<Answer<ReportAnswer>> => {
    const refusal = refusalOf(args);
    if (refusal) return refusal;
    const state = await engine.state();
    if (!state) return { outcome: 'lost' };
    return { outcome: 'ok', ...sparseTokens(state.ranks.map((rank) => rank.tokens_by_expert)) };
  };

  const form = (args: FormArgs): Promise<Answer<{ outcome: 'done' }>> =>
    exclusive(async () => {
      const refusal = refusalOf(args);
      if (refusal) return refusal;
      const state = await engine.state();
      if (!state) return { outcome: 'lost' };
      const used = state.ranks.map((rank) => rank.version ?? -1);
      if (used.every((version) => version === args.version)) return { outcome: 'done' };
      // A late duplicate would take this rank back to a map that the group has left.
      if (Math.max(...used) >= args.version) return refuse('old-version');
      keepMap(args.map);
      const { version, rankCount, map } = args;
      const body = { fence: args.fence, group: options.group, rank_count: rankCount, version, map };
      return answerTo(await engine.order('form_group', body));
    });

  // Not in turn with the other orders: loading takes seconds, and it changes no vote.
  const prepare = async (args: PrepareArgs): Promise<Answer<{ outcome: 'done' }>> => {
    const refusal = refusalOf(args);
    if (refusal) return refusal;
    keepMap(args.map);
    const { version, map } = args;
    return answerTo(await engine.order('prepare_map', { fence: args.fence, version, map }));
  };

  const armNow = async (args: ArmArgs): Promise<boolean> => {
    if (refusalOf(args)) return false;
    const body = { fence: args.fence, version: args.version, at_step: args.atStep };
    const order = await engine.order('arm_map', body);
    if (order.outcome === 'refused') refuse(order.reason);
    return order.outcome !== 'refused';
  };

  // Whatever the order came to, the answer is this engine's vote: armed, or refused for good.
  // An arm that was only turned down could still succeed later, by a copy of the message.
  const arm = async (args: ArmArgs): Promise<Vote> => {
    const mayBeArmed = await exclusive(() => armNow(args));
    if (mayBeArmed) settlements.settle(args.version);
    return votes.vote(args.version);
  };

  const decide = async (args: DecideArgs): Promise<{ outcome: 'done' }> => {
    const isSettling = settlements.undecided().includes(args.version);
    if (isSettling) settlements.decide(args.version, args.decision);
    else await votes.apply(args.version, args.decision);
    return { outcome: 'done' };
  };

  const serve = async (method: ExpertMethod, args: unknown): Promise<unknown> => {
    switch (method) {
      case 'experts.register':
        return register(args as RegisterArgs);
      case 'experts.fence':
        return { fence, silentMs: clock.monotonic() - heartbeatAt };
      case 'experts.heartbeat':
        return heartbeat(args as Fenced);
      case 'experts.report':
        return report(args as Fenced);
      case 'experts.map':
        return maps.get((args as MapArgs).version) ?? null;
      case 'experts.form':
        return form(args as FormArgs);
      case 'experts.prepare':
        return prepare(args as PrepareArgs);
      case 'experts.arm':
        return arm(args as ArmArgs);
      case 'experts.decide':
        return decide(args as DecideArgs);
      case 'experts.outcome':
        return votes.vote((args as OutcomeArgs).version);
      default:
        return refuse('unknown-method');
    }
  };

  // A process that starts finds in the engine what the one before it had armed.
  const settleArmed = async (): Promise<void> => {
    const state = await engine.state();
    for (const { armed } of state?.ranks ?? []) {
      if (armed && !armed.decided) settlements.settle(armed.version);
    }
  };

  const watch = async (): Promise<void> => {
    while (!closed) {
      await settleArmed();
      await sleep(clock, timings.watchMs);
    }
  };

  const recover = async (): Promise<void> => {
    const found = await recoverFence(options, timings, () => closed);
    if (found !== undefined) fence = Math.max(found, fence ?? -1);
    logger.info(`group ${options.group}: obeys fencing numbers from ${fence}`);
  };

  return {
    serve,
    run: async () => {
      await Promise.all([recover(), watch()]);
    },
    close: () => {
      closed = true;
      settlements.close();
    },
    lastHeartbeat: () => heartbeatAt,
    status: () => ({ group: options.group, fence, undecided: settlements.undecided() }),
  };
};
