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
import { createMutex } from './mutex.js';
import { createInDoubtChanges } from './in-doubt-changes.js';
import { sparseTokens } from './tokens.js';
import { defaultTimings } from './types.js';
import type {
  ExpertMapDocument,
  ExpertMethod,
  GroupMember,
  GroupMemberOptions,
  OrderOutcome,
} from './types.js';

/**
 * Largest number of stored maps. A coordinator that takes over needs the one in use and the one in
 * preparation.
 */
const MAX_STORED_MAPS = 4;

type Answer<T> = T | Refused | Lost;

/** Creates the group member of one agent; see docs/decisions. */
export const createGroupMember = (options: GroupMemberOptions): GroupMember => {
  const { engine, clock, metrics, logger } = options;
  const timings = { ...defaultTimings, ...options.timings };
  const runExclusive = createMutex();
  const maps = new Map<number, ExpertMapDocument>();
  let fence: number | undefined;
  let heartbeatAt = clock.monotonic();
  let closed = false;

  const votes = createEngineVotes(engine, options.ranks, runExclusive, () => fence);
  const inDoubtChanges = createInDoubtChanges(options, timings, votes);

  const refuse = (reason: string): Refused => {
    metrics.count('expert_order_refusals', { reason });
    return { outcome: 'refused', reason, fence };
  };

  // Some engines accept orders with any fencing token, so it is checked here too.
  const checkFence = (args: Fenced): Refused | undefined => {
    if (fence === undefined) return refuse('fence-unknown');
    if (args.fence < fence) return refuse('old-fence');
    fence = args.fence;
    return undefined;
  };

  const answerFromOrder = (order: OrderOutcome): Answer<{ outcome: 'done' }> =>
    order.outcome === 'refused' ? refuse(order.reason) : order;

  const storeMap = (map: ExpertMapDocument): void => {
    maps.delete(map.version);
    maps.set(map.version, map);
    const [oldest] = maps.keys();
    if (maps.size > MAX_STORED_MAPS && oldest !== undefined) maps.delete(oldest);
  };

  // Runs in sequence with the orders to the engine: once it is answered, no order with a smaller
  // fencing token is in flight to the engine.
  const register = (args: RegisterArgs): Promise<Answer<Registered>> =>
    runExclusive(async () => {
      const refusal = checkFence(args);
      if (refusal) return refusal;
      if ((args.expectInstance ?? options.instance) !== options.instance) {
        return refuse('restarted');
      }
      const state = await engine.state();
      return { outcome: 'registered', instance: options.instance, state };
    });

  const heartbeat = async (args: Fenced): Promise<Answer<HeartbeatAnswer>> => {
    const refusal = checkFence(args);
    if (refusal?.reason === 'old-fence') return refusal;
    heartbeatAt = clock.monotonic();
    if (refusal) return refusal;
    const state = await engine.state();
    if (!state) return { outcome: 'lost' };
    const ranks = state.ranks.map(({ rank, step, version, armed, step_time_us: stepTimeUs }) => ({
      rank,
      step,
      version,
      armed: armed?.version ?? null,
      stepTimeUs,
    }));
    return { outcome: 'ok', instance: options.instance, ranks };
  };

  const report = async (args: Fenced): Promise<Answer<ReportAnswer>> => {
    const refusal = checkFence(args);
    if (refusal) return refusal;
    const state = await engine.state();
    if (!state) return { outcome: 'lost' };
    return { outcome: 'ok', ...sparseTokens(state.ranks.map((rank) => rank.tokens_by_expert)) };
  };

  const form = (args: FormArgs): Promise<Answer<{ outcome: 'done' }>> =>
    runExclusive(async () => {
      const refusal = checkFence(args);
      if (refusal) return refusal;
      const state = await engine.state();
      if (!state) return { outcome: 'lost' };
      const versionsInUse = state.ranks.map((rank) => rank.version ?? -1);
      if (versionsInUse.every((version) => version === args.version)) return { outcome: 'done' };
      // A late duplicate would return this rank to a map that the group no longer uses.
      if (Math.max(...versionsInUse) >= args.version) return refuse('old-version');
      storeMap(args.map);
      const { version, rankCount, map } = args;
      const body = { fence: args.fence, group: options.group, rank_count: rankCount, version, map };
      return answerFromOrder(await engine.order('form_group', body));
    });

  // Not in sequence with the other orders: loading takes seconds and changes no vote.
  const prepare = async (args: PrepareArgs): Promise<Answer<{ outcome: 'done' }>> => {
    const refusal = checkFence(args);
    if (refusal) return refusal;
    storeMap(args.map);
    const { version, map } = args;
    return answerFromOrder(await engine.order('prepare_map', { fence: args.fence, version, map }));
  };

  const armNow = async (args: ArmArgs): Promise<boolean> => {
    if (checkFence(args)) return false;
    const body = { fence: args.fence, version: args.version, at_step: args.atStep };
    const order = await engine.order('arm_map', body);
    if (order.outcome === 'refused') refuse(order.reason);
    return order.outcome !== 'refused';
  };

  // Whatever the outcome of the order, the answer is the engine's vote: armed, or refused for good.
  // Without the vote, a duplicate of the message could still arm the engine after a refusal.
  const arm = async (args: ArmArgs): Promise<Vote> => {
    const mayBeArmed = await runExclusive(() => armNow(args));
    if (mayBeArmed) inDoubtChanges.resolveChange(args.version);
    return votes.vote(args.version);
  };

  const decide = async (args: DecideArgs): Promise<{ outcome: 'done' }> => {
    const isInDoubt = inDoubtChanges.undecided().includes(args.version);
    if (isInDoubt) inDoubtChanges.decide(args.version, args.decision);
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

  // After a restart, the engine still has the maps that the earlier process armed.
  const resolveArmedMaps = async (): Promise<void> => {
    const state = await engine.state();
    for (const { armed } of state?.ranks ?? []) {
      if (armed && !armed.decided) inDoubtChanges.resolveChange(armed.version);
    }
  };

  const watchEngine = async (): Promise<void> => {
    while (!closed) {
      await resolveArmedMaps();
      await sleep(clock, timings.watchMs);
    }
  };

  const recover = async (): Promise<void> => {
    const recoveredFence = await recoverFence(options, timings, () => closed);
    if (recoveredFence !== undefined) fence = Math.max(recoveredFence, fence ?? -1);
    logger.info(`group ${options.group}: accepts fencing tokens from ${fence}`);
  };

  return {
    serve,
    run: async () => {
      await Promise.all([recover(), watchEngine()]);
    },
    close: () => {
      closed = true;
      inDoubtChanges.close();
    },
    lastHeartbeatAt: () => heartbeatAt,
    status: () => ({ group: options.group, fence, undecided: inDoubtChanges.undecided() }),
  };
};
