import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AdmissionTicket } from '@plantaindrum/admission';
import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import type { ExitCheck } from '@plantaindrum/exchange';
import type { Admission } from '../admission/admission.js';
import type { ServiceOutages } from '../admission/service-outages.js';
import type { StreamAdmission } from '../admission/stream-admission.js';
import type { AnswerSurvival } from '../attempts/survival.js';
import type { GroupDirectory } from '../groups/group-directory.js';
import type { TakeUpQueue } from '../groups/take-up-queue.js';
import type { Lifecycle } from '../lifecycle/lifecycle.js';
import type { RouteTable } from '../intent/route-table.js';
import type { RequestQuarantine } from '../quarantine/index.js';
import type { RetryBudget } from '../retry/budget.js';
import type { CallerFields, HeaderDialect, Organisation, Route, UpstreamRecord } from '../types.js';
import type { Directory } from '../upstreams/directory.js';
import type { RateLimits } from '../upstreams/rate-limits.js';

/** What serving a request needs from the entry. */
export interface ServingDeps {
  dialect: HeaderDialect;
  directory: Directory;
  admission: Admission;
  streamAdmission: StreamAdmission;
  budget: RetryBudget;
  rateLimits: RateLimits;
  outages: ServiceOutages;
  groups: GroupDirectory;
  takeUp: TakeUpQueue;
  quarantine: RequestQuarantine;
  /** Checks whether the upstream's process has exited, after an attempt there has failed. */
  checkExit: ExitCheck<UpstreamRecord>;
  survival: AnswerSurvival;
  /** Number of entries that may be running, including this one. */
  entries: () => number;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
  /** Whether the entry has just started, so that upstreams may be missing from its list. */
  isStarting: () => boolean;
  /** While the entry stops, responses close the caller's connection. */
  lifecycle: Lifecycle;
}

/** A caller's request with what is needed to serve it. */
export interface CallerRequest {
  req: IncomingMessage;
  res: ServerResponse;
  id: string;
  fields: CallerFields;
  route: Route;
  routeTable: RouteTable;
  service: string;
  organisation: Organisation | undefined;
  body: Uint8Array;
  /** Identifies the work that is requested; see `fingerprintOf`. */
  fingerprint: string;
  /** Ids of the parts of its prompt that other requests may share. */
  sharedParts: readonly string[];
  /** When it arrived, and when its response is due at the latest (monotonic, ms). */
  arrivedAt: number;
  deadlineAt: number;
  /** Whether this is a retry of a refused request, as its shorter deadline suggests. */
  isReturn: boolean;
  /** Time since the caller's first attempt, in ms; 0 for a first attempt. */
  sinceFirstAttemptMs: number;
  /** Its place at the shared admission; undefined if its service has none. */
  ticket: AdmissionTicket | undefined;
}

/** Why a request was refused. */
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
  /** All upstreams are in data centres that operators have evacuated. */
  | 'evacuated'
  /** All upstreams advertise rate limits, and these are used up. */
  | 'upstreams-rate-limited'
  /** Only cold upstreams are left, and may get no more requests now. */
  | 'upstreams-cold'
  | 'pace-too-slow'
  /** No rank group of the service is open. */
  | 'group-closed'
  /** More requests wait than can be served in time. */
  | 'queue-full'
  | 'upstreams-refusing'
  | 'attempts-spent'
  /** The request has crashed upstreams that ran it. */
  | 'quarantined'
  /** Requests with a part of its prompt have crashed upstreams. */
  | 'part-quarantined'
  /** The request may have crashed upstreams, and is under trial at one. */
  | 'crash-suspect'
  | 'retry-budget-spent'
  | 'deadline'
  | 'upstream-failed';

/** How the wait for a service ended. */
export type ServiceWait =
  | { outcome: 'proceed' }
  /** The request is sent to a group that isn't known to be open, to find out. */
  | { outcome: 'probe' }
  /** It must be refused; the caller may return after `retryAfterMs`, if that is known. */
  | { outcome: 'refused'; reason: RefusalReason; retryAfterMs?: number };
