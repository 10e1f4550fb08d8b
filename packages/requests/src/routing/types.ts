import type { Load } from '@plantaindrum/link';

/** An upstream of the VM list. */
export interface Upstream {
  /** Name of the VM. */
  id: string;
  dataCentre: string;
  region: string;
  /** Name of the model or service that it serves. */
  target: string;
  /** Whether the VM list marks it as leaving. */
  leaving?: boolean;
}

/** The properties of a request that routing depends on. */
export interface RouteRequest {
  target: string;
  /** Hash of the prompt's prefix (`prefixHash`); undefined for plain services. */
  prefix?: string;
  /** Upstreams that must not be chosen, for example those already tried. */
  exclude?: ReadonlySet<string>;
}

/** Why no upstream was chosen. */
export type NoRoute = 'no-upstream' | 'all-excluded';

/** How an upstream was selected; a metric label. */
export type RouteMethod = 'prefix' | 'two-choices' | 'only-one' | 'last-resort';

/** Result of an upstream selection. */
export type Route =
  { upstream: string; method: RouteMethod } | { upstream: undefined; reason: NoRoute };

/** Why an upstream was ejected. */
export type EjectionReason = 'slow' | 'silent' | 'failing';

/** Health state of an upstream as one entry sees it. */
export type UpstreamHealth = 'serving' | 'ejected' | 'returning';

/** A dispatched request, as routing tracks it. Each method has an effect once, in any order. */
export interface DispatchedRequest {
  /** The agent has sent it to the upstream. */
  started(): void;
  /** The head or the first token of the answer has arrived. */
  firstByte(): void;
  /** The upstream refused the request or could not be reached. */
  failed(): void;
  /** The request has ended, with any outcome. */
  ended(): void;
}

/** An entry of the VM list. */
export interface EntryNode {
  id: string;
  dataCentre: string;
  region: string;
}

/** Selects an upstream for each request; each entry has one router. */
export interface Router {
  /** Replaces the list of upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void;
  /** Replaces the list of entries, which share the links to the upstreams of a large site. */
  setEntries(entries: readonly EntryNode[]): void;
  /** The upstreams of a target that this entry keeps links to. */
  subset(target: string): string[];
  /** Selects an upstream for a request. */
  choose(request: RouteRequest): Route;
  /** Records a request sent to the upstream; the caller reports its progress to the result. */
  recordDispatch(upstream: string): DispatchedRequest;
  /** Records the load that a frame from the agent carried: the latest known. */
  recordLoad(upstream: string, load: Load): void;
  /** Records the platform's report, which lags; used only without a fresh load. */
  recordLaggedLoad(upstream: string, report: { queued: number; running: number }): void;
  /** Sets whether the link is lost or heartbeats are missing. */
  setSilent(upstream: string, silent: boolean): void;
  /** The agent accepts no new work, until a load from a new agent instance says otherwise. */
  markLeaving(upstream: string): void;
  /** Ejects outliers and lets ejected upstreams return; to be called about once a second. */
  updateHealth(): HealthChange[];
  /** State of every upstream. */
  status(): UpstreamStatus[];
}

/** A change of an upstream's health, for the log and metrics. */
export interface HealthChange {
  upstream: string;
  from: UpstreamHealth;
  to: UpstreamHealth;
  reason: EjectionReason | 'pause-over' | 'recovered';
}

/** State of one upstream in `status`. */
export interface UpstreamStatus {
  id: string;
  target: string;
  health: UpstreamHealth;
  silent: boolean;
  leaving: boolean;
  outstanding: number;
  queued: number;
  running: number;
  /** Moving average of the time to first byte, in milliseconds; undefined with too few samples. */
  firstByteMs: number | undefined;
}
