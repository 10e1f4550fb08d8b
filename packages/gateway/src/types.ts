/** What the gateway knows: the operators' intent, upstreams, and a caller's request. */

import type { PassTimes } from './admission/pass-model.js';

/** What may be repeated: `unsafe` runs at most once, `stream` as its route's `resumable` says. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service with its share of a route's requests. */
export interface ServiceShare {
  service: string;
  /** Relative to the other shares of the route. */
  weight: number;
}

/** One route of the operators' intent. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** A broken stream may go on at another upstream. */
  resumable: boolean;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that operators aim for, in milliseconds. */
  targetMs: number;
  /** Longest pause between two events of a stream that is on time, in milliseconds. */
  targetPauseMs: number | undefined;
  /** Rank among routes, 0 first. */
  priority: number;
  /** Most upstreams that one request may be sent to. */
  maxAttempts: number;
  /** Serves callers without an API key. */
  anonymous: boolean;
  services: readonly ServiceShare[];
}

/** Expert placement of the model engines of a service. */
export interface EngineShape {
  /** Sets of layers that share one placement of experts; 0 for an engine without experts. */
  sets: number;
  /** Experts in each set. */
  experts: number;
  /** Experts that one rank holds in each set, at most. */
  places: number;
  /** Experts that one change of map may bring new to a rank, in each set. */
  spare: number;
  /** Size of one expert, in MB, and the rate at which a rank copies experts, in Mbit/s. */
  expertMb: number;
  copyMbps: number;
  /** Time of a step without a stream and for each stream, in ms; undefined where it isn't stated. */
  passTimes: PassTimes | undefined;
}

/** A service that routes lead to. */
export interface Service {
  name: string;
  /** Most connections that one upstream accepts from all callers together. */
  maxConnections: number;
  engine: EngineShape | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** An organisation and the API keys that stand for it. */
export interface Organisation {
  name: string;
  apiKeys: readonly string[];
  /** Goes before the route's rank where it is given. */
  priority: number | undefined;
}

/** The operators' intent as a whole. */
export interface Intent {
  /** Grows with each change. */
  version: number;
  routes: readonly Route[];
  services: readonly Service[];
  limits: CallerLimits;
  /** Undefined: callers need no key. */
  organisations: readonly Organisation[] | undefined;
}

/**
 * One start of an upstream. It may start again under its instance, and then holds and knows nothing
 * of before: what is known of an earlier start says nothing about it.
 */
export interface UpstreamStart {
  instance: string;
  /** Unix time of the start, in milliseconds; 0 where the platform doesn't tell. */
  startedAt: number;
}

/** What an upstream says of itself in the platform's list. */
export interface UpstreamRecord extends UpstreamStart {
  service: string;
  host: string;
  port: number;
  dataCentre: string;
  slots: number;
  state: 'ready' | 'draining';
  /** How much longer it is slow after its start, in milliseconds. */
  warmupLeftMs: number;
  /** Grows with each heartbeat of the upstream; a smaller one is an old heartbeat that came late. */
  sequence: number;
}

/** What makes an entry of the platform's list name no upstream: its bytes, or one unsound field. */
export type UpstreamFault = keyof UpstreamRecord | 'bytes' | 'software';

/** What a caller asks for, apart from method, path and body. */
export interface CallerFields {
  /** The caller's id of this request; undefined when it sent none. */
  requestId: string | undefined;
  /** How long the caller waits, in milliseconds; undefined when it doesn't say. */
  deadlineMs: number | undefined;
  apiKey: string | undefined;
  /** Resume after this event. */
  lastEventId: number | undefined;
}

/** What an upstream's answer says apart from its body. */
export interface AnswerFields {
  requestId: string | undefined;
  /** The upstream states that it did not run the request and won't. */
  notRun: boolean;
  /** Bears the upstream's receipt. */
  hasReceipt: boolean;
  /** Requests running and waiting at the upstream; undefined when it doesn't tell. */
  load: { running: number; waiting: number } | undefined;
  /** Most requests a second that the upstream takes from all entries together; undefined when it advertises none. */
  rateLimit: number | undefined;
}

/** Names and values of a header's fields, flat, as they came. */
export type RawHeaders = readonly string[];

/** What the gateway sets in each attempt. */
export interface AttemptFields {
  /** Time that is left, in milliseconds. */
  deadlineMs: number;
  /** The upstream must refuse the attempt unless it is this instance. */
  instance: string;
  organisation: string | undefined;
  /** Urgency among the requests that wait at an engine, 0 first. */
  urgency: number;
  /** Resume after this event. */
  lastEventId: number | undefined;
}

/** Translates headers between the gateway and what callers and upstreams speak. */
export interface HeaderDialect {
  readCaller(headers: NodeJS.Dict<string | string[]>): CallerFields;
  /** The caller's headers with those of the connection and of the gateway replaced. */
  writeAttempt(headers: RawHeaders, fields: AttemptFields, bodyBytes: number): string[];
  readAnswer(headers: NodeJS.Dict<string | string[]>): AnswerFields;
}
