import type { Frame, Hello } from './messages.js';

/** Why a link was closed, or could not be opened. */
export type LinkCloseReason =
  | 'closed-here'
  | 'closed-by-peer'
  | 'connect-failed'
  | 'heartbeat-missed'
  | 'malformed-frame'
  | 'frame-too-large'
  | 'version-mismatch'
  | 'hello-timeout'
  | 'send-buffer-full'
  | 'socket-error'
  | 'handler-failed';

/** One established connection to a peer; a new connection is a new link. */
export interface Link {
  /** The peer's hello. */
  readonly peer: Hello;
  /** Sends a frame; false if the link is closed and nothing was sent. */
  send(frame: Frame): boolean;
  /** Resolves once the send buffer is below `sendBufferBytes`, or the link is closed. */
  drained(): Promise<void>;
  /** Calls a method of the peer. Never rejects: on a timeout or a closed link the outcome is `lost`. */
  call(method: string, args: unknown, timeoutMs: number): Promise<CallOutcome>;
  close(): void;
  /** Resolves with the reason when the link is closed. */
  readonly closed: Promise<LinkCloseReason>;
}

/** Outcome of a call: `failed` is the peer's refusal; after `lost` it is unknown whether the call was executed. */
export type CallOutcome =
  | { outcome: 'answered'; value: unknown }
  | { outcome: 'failed'; value: unknown }
  | { outcome: 'lost' };

/** Serves a call from a peer; the value of a thrown `CallRefused` is sent back as a refusal. */
export type CallHandler = (args: unknown, link: Link) => Promise<unknown>;
