import type { Clock, Logger, Metrics } from '@plantaindrum/common';
import type { Call, Frame, Hello, Load, Ping, Reply } from './messages.js';
import type { CallHandler, Link } from './types.js';

/** Bounds on what one link may use. */
export interface LinkLimits {
  /** Largest frame, in bytes. */
  frameBytes: number;
  /** Above this many unsent bytes `drained()` waits. */
  sendBufferBytes: number;
  /** Above this many unsent bytes the link is closed: its sender ignores `drained()`. */
  sendBufferMaxBytes: number;
  /** Time for the peer's hello, in milliseconds. */
  helloTimeoutMs: number;
  /** Time between heartbeats, in milliseconds. */
  heartbeatMs: number;
  /** Heartbeats in a row without a byte from the peer that end the link. */
  heartbeatsMissed: number;
  /** Most links that a server keeps at once. */
  connections: number;
}

/** Limits that suit nodes with about a millisecond between them. */
export const defaultLinkLimits: LinkLimits = {
  frameBytes: 2_097_152,
  sendBufferBytes: 1_048_576,
  sendBufferMaxBytes: 33_554_432,
  helloTimeoutMs: 3_000,
  heartbeatMs: 500,
  heartbeatsMissed: 3,
  connections: 4_096,
};

/** What a link doesn't answer by itself; pongs come along for the load that rides on them. */
export type PeerFrame = Exclude<Frame, Ping | Call | Reply>;

/**
 * Takes the frames of one link in order. The next frame is read once the returned promise has
 * resolved, which holds the peer back by TCP; it must resolve well within the heartbeat timeout.
 */
export type FrameHandler = (frame: PeerFrame) => void | Promise<void>;

/** What every link of a process needs to know. */
export interface LinkOptions {
  /** This node, as its hello tells peers. */
  identity: Omit<Hello, 't' | 'v' | 'intentOffset'>;
  /** Highest offset of the intent topic that this node has replayed, -1 for none. */
  intentOffset: () => number;
  /** Load of the upstream beside this node; rides on pongs. */
  load?: () => Load;
  limits: LinkLimits;
  /** Time between heartbeats to a peer, in ms, where it depends on the peer's node; read at each beat. */
  heartbeatMsWith?: (node: string) => number;
  /** Methods that peers may call, by name `area.verb`. */
  handlers: Record<string, CallHandler>;
  /** Told of each new connection; the result takes its frames. */
  onLink: (link: Link) => FrameHandler;
  /** Told when a peer has replayed more of the intent topic than this node. */
  onPeerOffset?: (link: Link, offset: number) => void;
  clock: Clock;
  metrics: Metrics;
  log: Logger;
}
