import type { Clock, Logger, Metrics } from '@plantaindrum/common';
import type { Call, Frame, Hello, Load, Ping, Reply } from './messages.js';
import type { CallHandler, Link } from './types.js';

/** Limits of links. */
export interface LinkLimits {
  /** Largest frame, in bytes. */
  frameBytes: number;
  /** Above this many unsent bytes `drained()` waits. */
  sendBufferBytes: number;
  /** Above this many unsent bytes the link is closed, as its sender doesn't wait for `drained()`. */
  sendBufferMaxBytes: number;
  /** Timeout of the peer's hello, in milliseconds. */
  helloTimeoutMs: number;
  /** Time between heartbeats, in milliseconds. */
  heartbeatMs: number;
  /** The link is closed after more than this many heartbeats in a row without a byte from the peer. */
  heartbeatsMissed: number;
  /** Largest number of links that a server keeps at once. */
  connections: number;
}

/** Default limits, for nodes with a network latency of about a millisecond. */
export const defaultLinkLimits: LinkLimits = {
  frameBytes: 2_097_152,
  sendBufferBytes: 1_048_576,
  sendBufferMaxBytes: 33_554_432,
  helloTimeoutMs: 3_000,
  heartbeatMs: 500,
  heartbeatsMissed: 3,
  connections: 4_096,
};

/** Frames that are passed to the frame handler. Pongs are included for the load that they carry. */
export type PeerFrame = Exclude<Frame, Ping | Call | Reply>;

/**
 * Handles the frames of one link in order. Reading is paused until the returned promise has
 * settled (TCP backpressure to the peer), which must be well within the heartbeat timeout.
 */
export type FrameHandler = (frame: PeerFrame) => void | Promise<void>;

/** Options of all links of a process. */
export interface LinkOptions {
  /** This node, as announced in its hello. */
  identity: Omit<Hello, 't' | 'v' | 'intentOffset'>;
  /** Highest offset of the intent topic that this node has replayed, -1 for none. */
  intentOffset: () => number;
  /** Load of the upstream beside this node; sent with pongs. */
  load?: () => Load;
  limits: LinkLimits;
  /** Overrides `limits.heartbeatMs` for a peer's node, in milliseconds; called at each heartbeat. */
  heartbeatMsFor?: (node: string) => number;
  /** Handlers of the methods that peers may call, by name (`area.verb`). */
  handlers: Record<string, CallHandler>;
  /** Called for each new link; returns the handler of its frames. */
  onLink: (link: Link) => FrameHandler;
  /** Called when a peer has replayed more of the intent topic than this node. */
  onPeerOffset?: (link: Link, offset: number) => void;
  clock: Clock;
  metrics: Metrics;
  log: Logger;
}
