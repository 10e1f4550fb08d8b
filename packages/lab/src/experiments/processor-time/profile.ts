/** Reads the runtime's processor profiles, and sums self time by what the code was at work on. */

import { readFile } from 'node:fs/promises';

interface ProfileNode {
  id: number;
  callFrame: { functionName: string; url: string };
  children?: number[];
}

/** A profile as the runtime writes it; times in microseconds. */
export interface CpuProfile {
  nodes: ProfileNode[];
  samples: number[];
  timeDeltas: number[];
}

/** A span of a profile, in ms from its end backwards. */
export interface ProfileSpan {
  fromMs: number;
  toMs: number;
}

const US_PER_MS = 1_000;

/** What processor time went to. */
export const CAUSES = [
  'garbage collection',
  'start',
  'links between nodes',
  'engine reports and orders',
  'planning',
  'map messages',
  'requests and streams',
  'choice and admission',
  'store',
  'logs',
  'metrics',
  'timers',
  'HTTP and sockets',
  'kernel, compiling and the rest',
  'platform boundary',
  'other code of ours',
] as const;

/** One cause. */
export type Cause = (typeof CAUSES)[number];

/** Parts of our own modules, the first that fits. */
const OWN_PARTS: readonly (readonly [part: string, cause: Cause])[] = [
  ['/link/', 'links between nodes'],
  ['/gateway/dist/mesh/', 'links between nodes'],
  ['/rank-groups/dist/links/', 'links between nodes'],
  ['/rank-groups/dist/plan/', 'planning'],
  ['/rank-groups/dist/tree/', 'map messages'],
  ['/rank-groups/dist/change/', 'map messages'],
  ['/rank-groups/', 'engine reports and orders'],
  ['/platform/dist/engine', 'engine reports and orders'],
  ['/gateway/dist/upstreams/', 'choice and admission'],
  ['/gateway/dist/admission/', 'choice and admission'],
  ['/gateway/', 'requests and streams'],
  ['/mirror/', 'store'],
  ['/platform/dist/store', 'store'],
  ['/platform/dist/', 'platform boundary'],
  ['/common/dist/event-log', 'logs'],
  ['/common/dist/metrics', 'metrics'],
];

const ownCause = (url: string): Cause | undefined => {
  if (!url.includes('/packages/') && !url.includes('/platform/')) return undefined;
  if (url.includes('/node_modules/')) return undefined;
  return OWN_PARTS.find(([part]) => url.includes(part))?.[1] ?? 'other code of ours';
};

/** Code of the runtime that no code of ours has called in the same turn. */
const runtimeCause = ({ functionName, url }: ProfileNode['callFrame']): Cause => {
  if (functionName === '(program)' || functionName === '(root)') {
    return 'kernel, compiling and the rest';
  }
  if (url.includes('internal/modules')) return 'start';
  if (url.includes('internal/timers') || url.includes('process/task_queues')) return 'timers';
  return 'HTTP and sockets';
};

/**
 * Self time by cause in a span, in ms; code of the runtime and of libraries counts for the code of ours that called it.
 */
export const timeByCause = (profile: CpuProfile, span: ProfileSpan): Map<Cause, number> => {
  const parents = new Map<number, ProfileNode>();
  profile.nodes.forEach((node) => node.children?.forEach((id) => parents.set(id, node)));

  const causeOf = (node: ProfileNode): Cause | undefined => {
    const { functionName } = node.callFrame;
    if (functionName === '(idle)') return undefined;
    if (functionName === '(garbage collector)') return 'garbage collection';
    for (let at: ProfileNode | undefined = node; at; at = parents.get(at.id)) {
      if (at.callFrame.url.includes('internal/modules')) return 'start';
      const cause = ownCause(at.callFrame.url);
      if (cause !== undefined) return cause;
    }
    return runtimeCause(node.callFrame);
  };

  const causes = new Map(profile.nodes.map((node) => [node.id, causeOf(node)]));
  const times = new Map<Cause, number>();
  let untilEndMs = profile.timeDeltas.reduce((sum, delta) => sum + delta, 0) / US_PER_MS;
  profile.samples.forEach((id, at) => {
    const ms = (profile.timeDeltas[at] ?? 0) / US_PER_MS;
    untilEndMs -= ms;
    const cause = causes.get(id);
    const isInside = untilEndMs <= span.fromMs && untilEndMs >= span.toMs;
    if (cause === undefined || !isInside) return;
    times.set(cause, (times.get(cause) ?? 0) + ms);
  });
  return times;
};

/** Reads one profile. */
export const readProfile = async (path: string): Promise<CpuProfile> =>
  JSON.parse(await readFile(path, 'utf8')) as CpuProfile;
