/** What the experiment needs from a site of the platform or of our own interface. */

import type { CallerCall } from './callers.js';
import type { PlannedCall } from './cases.js';
import type { TestUpstream } from './upstreams.js';

/** The ways into the product. */
export type Interface = 'platform' | 'own';

/** A running site with pairs of upstreams. */
export interface EndingSite {
  /** A request to the upstreams of a pair. */
  callOf(pair: number, call: PlannedCall): CallerCall;
  /** Announces that an upstream is leaving. */
  announceLeaving(upstream: TestUpstream): void;
  /** Resolves when all upstreams of a pair run. */
  settled(pair: number): Promise<void>;
  /** Process ids of the entries. */
  entryPids(): readonly number[];
  /** Processor time of all entries and agents, in ms. */
  cpuMs(): Promise<number>;
  close(): Promise<void>;
}

/** Called by a site for each upstream that it starts. */
export interface SiteEvents {
  /** Called for each connection to an upstream. */
  onConnected: () => void;
  onBegun: (upstream: TestUpstream, id: string) => void;
  onEnded: (id: string, at: number) => void;
}

/** Options of the sites. */
export interface SiteOptions extends SiteEvents {
  pairs: number;
  runsFolder: string;
}

/** Body of a request; a long one can't be read at once. */
export const requestBody = ({ plan }: PlannedCall): string =>
  plan.leavesUnread ? 'x'.repeat(400_000) : plan.id;

/** The upstreams of a pair. */
export const pairOf = (upstreams: readonly TestUpstream[], pair: number): readonly TestUpstream[] =>
  upstreams.slice(2 * pair, 2 * pair + 2);
