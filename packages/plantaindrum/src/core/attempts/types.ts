import type { RefusalReason } from '@plantaindrum/common';
import type {
  Chunk,
  Dispatch,
  End,
  Head,
  InProgress,
  Load,
  NotRun,
  Started,
  Unknown,
} from '@plantaindrum/link';

/** Frames that belong to one attempt. */
export type AttemptFrame = Started | Head | Chunk | End | NotRun | Unknown | InProgress;

/** Everything that can happen to an open attempt. */
export type AttemptEvent =
  | AttemptFrame
  | { t: 'link-lost' }
  | { t: 'link-up'; instance: string }
  /** The link is up, but nothing has come from the agent for some time. */
  | { t: 'silent' }
  | { t: 'caller-gone' }
  /** The agent sent more than its credit allows. */
  | { t: 'overrun' }
  | { t: 'timer' };

/** What an entry sends in a dispatch; the attempt adds its id. */
export type DispatchPayload = Omit<Dispatch, 't' | 'id'>;

/** How one attempt ended. `not-run` is proved; `unknown` may have run. */
export type AttemptOutcome =
  | { outcome: 'answered' }
  | { outcome: 'not-run'; reason: RefusalReason; retryAfterMs: number }
  | { outcome: 'unknown'; reason: RefusalReason }
  | { outcome: 'caller-gone' };

/** Where an attempt's answer goes. */
export interface ResponseSink {
  /** False when this head can't continue the answer that the caller already has a part of. */
  head(status: number, headers: Record<string, string>): boolean;
  /** Resolves once the caller has room for more; false when the bytes break the answer's order. */
  write(data: Uint8Array): Promise<boolean>;
  /** Ends the answer; false when it can't be whole. */
  end(): boolean;
}

/** An attempt that an upstream's frames are delivered to. */
export interface OpenAttempt {
  push(event: AttemptEvent): void;
}

/** The side of an upstream that an attempt uses. */
export interface AttemptUpstream {
  /** Instance of the agent at the other end; undefined without a link. */
  instance(): string | undefined;
  /** Takes frames of this id until the returned function is called. */
  open(id: Dispatch['id'], attempt: OpenAttempt): () => void;
  /** Sends the work; false when nothing was sent. */
  dispatch(frame: Dispatch): Promise<boolean>;
  query(id: Dispatch['id'], headReceived: boolean, received: number): boolean;
  credit(id: Dispatch['id'], bytes: number): void;
  /** Cancels now, or as soon as the same agent instance is linked again. */
  cancel(id: Dispatch['id'], instance: string): void;
  load(): Load | undefined;
}
