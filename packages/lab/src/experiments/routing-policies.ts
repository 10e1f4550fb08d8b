import type { Random } from '@plantaindrum/common';
import type { Router, DispatchedRequest } from '@plantaindrum/requests';

/** The part of a router that the model drives. */
export type RoutingPolicy = Pick<
  Router,
  'choose' | 'recordDispatch' | 'recordLoad' | 'recordLaggedLoad' | 'updateHealth'
>;

const IDLE_TICKET: DispatchedRequest = {
  started: () => {},
  firstByte: () => {},
  failed: () => {},
  ended: () => {},
};

type Choice = (candidates: readonly string[]) => string;

/** A policy that looks at nothing but what `choice` keeps. */
const createSimplePolicy = (
  upstreams: readonly string[],
  choice: Choice,
  hooks: Partial<RoutingPolicy> = {},
): RoutingPolicy => ({
  choose: ({ exclude }) => {
    const candidates = upstreams.filter((id) => !exclude?.has(id));
    return candidates.length > 0
      ? { upstream: choice(candidates), method: 'two-choices' }
      : { upstream: undefined, reason: 'all-excluded' };
  },
  recordDispatch: () => IDLE_TICKET,
  recordLoad: () => {},
  recordLaggedLoad: () => {},
  updateHealth: () => [],
  ...hooks,
});

/** Baseline: any upstream. */
export const createRandomPolicy = (upstreams: readonly string[], random: Random): RoutingPolicy =>
  createSimplePolicy(
    upstreams,
    (candidates) => candidates[Math.floor(random() * candidates.length)]!,
  );

/** Baseline: one after the other. */
export const createRoundRobinPolicy = (upstreams: readonly string[]): RoutingPolicy => {
  let turn = 0;
  return createSimplePolicy(upstreams, (candidates) => {
    turn += 1;
    return candidates[turn % candidates.length]!;
  });
};

/** Baseline: the least outstanding by the platform's lagged report. */
export const createLaggedPolicy = (upstreams: readonly string[], random: Random): RoutingPolicy => {
  const reported = new Map<string, number>();
  const outstanding = (id: string) => reported.get(id) ?? 0;
  const least: Choice = (candidates) => {
    const lowest = Math.min(...candidates.map(outstanding));
    const ties = candidates.filter((id) => outstanding(id) === lowest);
    return ties[Math.floor(random() * ties.length)]!;
  };
  return createSimplePolicy(upstreams, least, {
    recordLaggedLoad: (upstream, { queued, running }) => reported.set(upstream, queued + running),
  });
};
