/** Types of the operators' intent, of upstreams, and of the header fields of requests and responses. */

import type { PassTimes } from '@plantaindrum/admission';

/** Whether requests may be repeated: `safe` may, `unsafe` may not, `stream` only if its route is `resumable`. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service with its weight among the services of a route. */
export interface WeightedService {
  service: string;
  /** Relative to the weights of the route's other services. */
  weight: number;
}

/** One route of the operators' intent. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Whether a stream that breaks off may be resumed at another upstream. */
  resumable: boolean;
  /** Timeout of a request, in milliseconds. */
  timeoutMs: number;
  /** Target time to the response, or to a stream's first event, in milliseconds. */
  targetMs: number;
  /** Target for the longest pause between two events of a stream, in milliseconds. */
  targetPauseMs: number | undefined;
  /** Priority among routes, 0 first. */
  priority: number;
  /** Maximum number of upstreams that one request may be sent to. */
  maxAttempts: number;
  /** Whether callers without an API key are served. */
  anonymous: boolean;
  services: readonly WeightedService[];
}

/** Number and size of the experts of a service's model engines, and their capacity for replicas. */
export interface ExpertLayout {
  /** Sets of layers that share one placement of experts; 0 for an engine without experts. */
  sets: number;
  /** Experts in each set. */
  experts: number;
  /** Maximum number of experts that one rank holds in each set. */
  places: number;
  /** Maximum number of experts that one change of the map may add to a rank, in each set. */
  spare: number;
  /** Size of one expert, in MB. */
  expertMb: number;
  /** Rate at which a rank copies experts, in Mbit/s. */
  copyMbps: number;
  /** Time of a pass without streams, and added by each stream, in ms; undefined if not declared. */
  passTimes: PassTimes | undefined;
}

/** How the upstreams of a service warm up after their start. */
export interface WarmupDeclaration {
  durationMs: number;
  /** Requests a second that an upstream tolerates until then, from all entries together. */
  perSecond: number;
}

/** A service that routes lead to. */
export interface Service {
  name: string;
  /** Maximum number of connections that one upstream accepts from all entries together. */
  maxConnections: number;
  /** Path at which an upstream states its instance; undefined if there is none. */
  healthPath: string | undefined;
  engine: ExpertLayout | undefined;
  /** Undefined if its upstreams are never cold. */
  warmup?: WarmupDeclaration | undefined;
}

/** Limits on what a caller may send, and how long it may take. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** An organisation and its API keys. */
export interface Organisation {
  name: string;
  apiKeys: readonly string[];
  /** Overrides the route's priority if it is set. */
  priority: number | undefined;
}

/** The operators' complete intent. */
export interface Intent {
  /** Increases with each change. */
  version: number;
  routes: readonly Route[];
  services: readonly Service[];
  limits: CallerLimits;
  /** Undefined: callers need no key. */
  organisations: readonly Organisation[] | undefined;
}

/**
 * Identifies one start of an upstream's process. An upstream may start again under the same instance; it then has no
 * state from before, so nothing that is known of an earlier start applies to it.
 */
export interface UpstreamStart {
  instance: string;
  /** Unix time of the start, in milliseconds; 0 if the platform doesn't state it. */
  startedAt: number;
}

/** An upstream's entry in the platform's list, which the upstream writes itself. */
export interface UpstreamRecord extends UpstreamStart {
  service: string;
  host: string;
  port: number;
  dataCentre: string;
  slots: number;
  state: 'ready' | 'draining';
  /** Remaining time of its warm-up, in which it is slow, in milliseconds. */
  warmupLeftMs: number;
  /** Increases with each heartbeat of the upstream; a smaller one is an old heartbeat that arrived late. */
  sequence: number;
}

/** Why an entry of the platform's list is invalid: its bytes, or one invalid field. */
export type UpstreamRecordFault = keyof UpstreamRecord | 'bytes' | 'software';

/** What a caller's header fields say. */
export interface CallerFields {
  /** The caller's id of this request; undefined if it sent none. */
  requestId: string | undefined;
  /** How long the caller waits, in milliseconds; undefined if it doesn't say. */
  deadlineMs: number | undefined;
  apiKey: string | undefined;
  /** Resume after this event. */
  lastEventId: number | undefined;
  /** Ids of the parts of the prompt, in order; empty without a prompt. The last part is the request's own. */
  promptParts: readonly string[];
  /** Tokens of the prompt, and the maximum number of tokens of the answer; undefined if it doesn't say. */
  promptTokens: number | undefined;
  maxOutputTokens: number | undefined;
}

/** What the header fields of an upstream's response say. */
export interface ResponseFields {
  requestId: string | undefined;
  /** The upstream states that it did not run the request and won't. */
  notRun: boolean;
  /** Whether it has the upstream's receipt, which proves that the upstream ran the request. */
  hasReceipt: boolean;
  /** Requests that are running and waiting at the upstream; undefined if it doesn't say. */
  load: { running: number; waiting: number } | undefined;
  /** Requests a second that the upstream accepts from all entries together; undefined if it advertises no limit. */
  rateLimit: number | undefined;
}

/** Names and values of header fields in turn, as they were received. */
export type RawHeaders = readonly string[];

/** What the gateway's header fields of an attempt say. */
export interface AttemptFields {
  /** Time until the request's deadline, in milliseconds. */
  deadlineMs: number;
  /** The upstream must refuse the attempt unless it is this instance. */
  instance: string;
  organisation: string | undefined;
  /** Urgency among the requests that wait at an engine, 0 first. */
  urgency: number;
  /** Resume after this event. */
  lastEventId: number | undefined;
}

/** Translates between the gateway's fields and the headers that callers and upstreams use. */
export interface HeaderDialect {
  readCaller(headers: NodeJS.Dict<string | string[]>): CallerFields;
  /** The caller's headers, with those of the connection and of the gateway replaced. */
  writeAttempt(headers: RawHeaders, fields: AttemptFields, bodyBytes: number): string[];
  readResponse(headers: NodeJS.Dict<string | string[]>): ResponseFields;
  /** The instance that answered a request on the health path; undefined if it doesn't say. */
  readInstance(headers: NodeJS.Dict<string | string[]>): string | undefined;
  /** The remaining warm-up that such an answer states, in milliseconds; undefined if it doesn't say. */
  readWarmup(headers: NodeJS.Dict<string | string[]>): number | undefined;
}
