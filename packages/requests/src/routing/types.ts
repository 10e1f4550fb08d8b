import type { Load } from '@plantaindrum/link';

/** An upstream as the VM list names it. */
export interface Upstream {
  /** Name of the VM. */
  id: string;
  dataCentre: string;
  region: string;
  /** Model or service that it serves. */
  target: string;
  /** The VM list says that it leaves. */
  leaving?: boolean;
}

/** What routing knows about one request. */
export interface RouteRequest {
  target: string;
  /** Hash of the prompt's prefix (`prefixHash`); undefined for plain services. */
  prefix?: string;
  /** Upstreams not to choose again, for example those already tried. */
  exclude?: ReadonlySet<string>;
}

/** Why no upstream was chosen. */
export type NoRoute = 'no-upstream' | 'all-excluded';

/** How an upstream was chosen; for counters. */
export type RouteMethod = 'prefix' | 'two-choices' | 'only-one' | 'last-resort';

/** A choice of upstream. */
export type Route =
  { upstream: string; method: RouteMethod } | { upstream: undefined; reason: NoRoute };

/** Why an upstream gets no requests for a while. */
export type EjectionReason = 'slow' | 'silent' | 'failing';

/** State of an upstream in the eyes of one entry. */
export type UpstreamHealth = 'serving' | 'ejected' | 'returning';

/** One request on its way, as routing sees it. Each call counts once, in any order. */
export interface RouteTicket {
  /** The agent has handed it to its upstream. */
  started(): void;
  /** First sign of the answer: its head or first token. */
  firstByte(): void;
  /** The upstream refused it or could not be reached. */
  failed(): void;
  /** It has ended, in whatever way. */
  ended(): void;
}

/** An entry, as the VM list names it. */
export interface EntryNode {
  id: string;
  dataCentre: string;
  region: string;
}

/** Chooses an upstream for each request; one per entry. */
export interface Router {
  /** Replaces the known upstreams, from the VM list and from links. */
  setUpstreams(upstreams: readonly Upstream[]): void;
  /** Replaces the known entries; they divide the upstreams of a large site among them. */
  setEntries(entries: readonly EntryNode[]): void;
  /** The upstreams of a target that this entry keeps links to. */
  subset(target: string): string[];
  choose(request: RouteRequest): Route;
  /** A request was sent to the upstream; the ticket reports on it. */
  dispatched(upstream: string): RouteTicket;
  /** Load that rode on an agent's frame: the freshest knowledge. */
  load(upstream: string, load: Load): void;
  /** Load from the platform's lagged report; used only where nothing fresher exists. */
  laggedLoad(upstream: string, report: { queued: number; running: number }): void;
  /** The link is lost or heartbeats are missing (`true`), or the link is back (`false`). */
  silent(upstream: string, silent: boolean): void;
  /** Its agent takes no new work from now on; a load of a new agent instance takes that back. */
  leaving(upstream: string): void;
  /** Ejects slow upstreams and lets ejected ones return; call it once a second or so. */
  review(): HealthChange[];
  status(): UpstreamStatus[];
}

/** A change of an upstream's health, for one log line and a counter. */
export interface HealthChange {
  upstream: string;
  from: UpstreamHealth;
  to: UpstreamHealth;
  reason: EjectionReason | 'pause-over' | 'recovered';
}

/** One line of `status`. */
export interface UpstreamStatus {
  id: string;
  target: string;
  health: UpstreamHealth;
  silent: boolean;
  leaving: boolean;
  outstanding: number;
  queued: number;
  running: number;
  /** Smoothed time from start to first byte, in milliseconds; undefined before the first sample. */
  firstByteMs: number | undefined;
}
