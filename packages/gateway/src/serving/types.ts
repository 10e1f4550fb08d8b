import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import type { Admission } from '../admission/admission.js';
import type { Reopening } from '../admission/reopening.js';
import type { RouteTable } from '../intent/route-table.js';
import type { RequestQuarantine } from '../quarantine/index.js';
import type { RetryBudget } from '../retry/budget.js';
import type { CallerFields, HeaderDialect, Organisation, Route, UpstreamRecord } from '../types.js';
import type { Directory } from '../upstreams/directory.js';
import type { RateLimits } from '../upstreams/rate-limits.js';

/** What serving a request needs from its entry. */
export interface ServingDeps {
  dialect: HeaderDialect;
  directory: Directory;
  admission: Admission;
  budget: RetryBudget;
  rateLimits: RateLimits;
  reopening: Reopening;
  quarantine: RequestQuarantine;
  /** An attempt at this upstream was lost: finds out whether its process has ended. */
  checkEnd: (upstream: UpstreamRecord) => Promise<void>;
  /** Entries that may be at work, this one counted. */
  entries: () => number;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
  /** The entry is stopping: answers tell callers to come back on another connection. */
  isStopping: () => boolean;
}

/** A request that has been read whole and may be served. */
export interface CallerRequest {
  req: IncomingMessage;
  res: ServerResponse;
  id: string;
  fields: CallerFields;
  route: Route;
  table: RouteTable;
  service: string;
  organisation: Organisation | undefined;
  body: Uint8Array;
  /** Tells the same work from other work; see `fingerprintOf`. */
  fingerprint: string;
  /** When it arrived, and when its answer is due at the latest (monotonic, ms). */
  arrivedAt: number;
  deadlineAt: number;
  /** The caller has been refused before; told by the shorter time that it has left. */
  isReturn: boolean;
}

/** Why a request that could not be served got its answer. */
export type RefusalReason =
  | 'stopping'
  | 'no-intent'
  | 'bad-request'
  | 'unknown-route'
  | 'unknown-key'
  | 'intent-outdated'
  | 'body-too-large'
  | 'no-upstream'
  | 'upstreams-full'
  /** All of them advertise rate limits, which are used up. */
  | 'upstreams-rate-limited'
  | 'pace-too-slow'
  | 'upstreams-refusing'
  | 'attempts-spent'
  /** It has crashed upstreams that ran it. */
  | 'quarantined'
  /** It may have, and is being tried at one. */
  | 'crash-suspect'
  | 'retry-budget-spent'
  | 'deadline'
  | 'upstream-failed';
