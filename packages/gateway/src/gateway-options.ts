/** What an entry needs, and its interface once it runs. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import type { NodeRecord, PublishNode } from '@plantaindrum/mirror';
import type { ListenAddress } from './caller-server.js';
import type { EntryLogTopics } from './mesh/entry-topics.js';
import type { RetryLimits } from './retry/budget.js';
import type { HeaderDialect, Intent } from './types.js';
import type { DecodeUpstream } from './upstreams/upstream-list.js';

/** Addresses that an entry listens on. */
export interface GatewayAddresses {
  callers: ListenAddress;
  readiness: ListenAddress;
  links: ListenAddress;
  metrics: ListenAddress & { path: string };
}

/** Limits set by the operators; they may change while the entry runs. */
export interface GatewayBounds {
  retries: RetryLimits;
  /** Time from the stop signal until the process is killed, in milliseconds. */
  graceMs: number;
  /** A cold upstream gets at most its declared rate times `overshoot`, plus `slack` requests, in any second. */
  warmup: { overshoot: number; slack: number };
  /** Time from the request of an evacuation until nothing new may reach the data centre, in milliseconds. */
  evacuateMs: number;
}

/** Options of `createGateway`. */
export interface GatewayOptions {
  self: NodeRecord;
  region: string;
  addresses: GatewayAddresses;
  seeds: readonly ListenAddress[];
  bounds: GatewayBounds;
  /** Maximum number of concurrent connections of callers. */
  maxConnections: number;
  topics: EntryLogTopics;
  publish: PublishNode;
  /** Writes to the topic of quarantined requests; without a value it removes the key. */
  publishQuarantine: (key: string, value: Uint8Array | undefined) => Promise<boolean>;
  /** Key of the intent in its topic. */
  intentKey: string;
  decodeIntent: (value: Uint8Array) => Intent | undefined;
  /** Data centre whose evacuation a key in the topic of the intent requests; undefined for other keys. */
  decodeEvacuation: (key: string) => string | undefined;
  decodeUpstream: DecodeUpstream;
  dialect: HeaderDialect;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** A running entry. */
export interface Gateway {
  /** Applies changed limits. */
  setBounds(bounds: GatewayBounds): void;
  /** Shuts down gracefully; resolves when no request is in flight or the grace period is over. */
  stop(): Promise<void>;
}
