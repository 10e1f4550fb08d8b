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

/** Events of an open attempt. */
export type AttemptEvent =
  | AttemptFrame
  | { t: 'link-lost' }
  | { t: 'link-up'; instance: string }
  /** The link is open, but the agent has sent nothing for some time. */
  | { t: 'silent' }
  | { t: 'caller-gone' }
  /** Bytes of the answer wait to be written. */
  | { t: 'bytes' }
  /** The agent sent more than its credit allows. */
  | { t: 'overrun' }
  /** A chunk does not follow the one before. */
  | { t: 'misplaced' }
  | { t: 'timer' };

/** Content of a dispatch frame without the id, which the attempt adds. */
export type DispatchPayload = Omit<Dispatch, 't' | 'id'>;

/** How an attempt ended. `not-run` is proved; with `unknown` the request may have run. */
export type AttemptOutcome =
  | { outcome: 'answered' }
  | { outcome: 'not-run'; reason: RefusalReason; retryAfterMs: number }
  | { outcome: 'unknown'; reason: RefusalReason }
  | { outcome: 'caller-gone' };

/** Receives the response of an attempt. */
export interface ResponseSink {
  /**
   * False when this head can't continue the response that the caller has already received in part.
   */
  head(status: number, headers: Record<string, string>): boolean;
  /** Resolves when the caller can take more; false when the bytes don't continue the response. */
  write(data: Uint8Array): Promise<boolean>;
  /** Ends the response; false when it is incomplete. */
  end(): boolean;
}

/** Receives the frames of an attempt and the events of its link. */
export interface OpenAttempt {
  push(event: AttemptEvent): void;
}

/** What an attempt uses of an upstream. */
export interface AttemptUpstream {
  /** Instance id of the linked agent; undefined without a link. */
  instance(): string | undefined;
  /** Delivers frames with this id to the attempt until the returned function is called. */
  open(id: Dispatch['id'], attempt: OpenAttempt): () => void;
  /** Sends the request; false when nothing was sent. */
  dispatch(frame: Dispatch): Promise<boolean>;
  query(id: Dispatch['id'], headReceived: boolean, received: number): boolean;
  credit(id: Dispatch['id'], bytes: number): void;
  /** Cancels now, or as soon as the same agent instance reconnects. */
  cancel(id: Dispatch['id'], instance: string): void;
  load(): Load | undefined;
}
