import type { Frame, Hello } from './messages.js';

/** Why a link ended. */
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
  /** Sends a frame; false when the link has ended and nothing was sent. */
  send(frame: Frame): boolean;
  /** Resolves once the send buffer is below its limit again. */
  drained(): Promise<void>;
  /** Calls a method of the peer; rejects never: a lost link gives `{ ok: false }`. */
  call(method: string, args: unknown, timeoutMs: number): Promise<CallOutcome>;
  close(): void;
  /** Resolves with the reason when the link has ended. */
  readonly closed: Promise<LinkCloseReason>;
}

/** Outcome of a call: `failed` is the peer's refusal, `lost` means that nothing is known. */
export type CallOutcome =
  | { outcome: 'answered'; value: unknown }
  | { outcome: 'failed'; value: unknown }
  | { outcome: 'lost' };

/** Serves a call from a peer; a thrown `CallRefused` value travels back as a refusal. */
export type CallHandler = (args: unknown, link: Link) => Promise<unknown>;
