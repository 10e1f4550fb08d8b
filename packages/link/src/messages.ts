/** The typed frames that travel between entries and agents, and between agents. */

/** Names one attempt: the entry instance that made it and that entry's counter. */
export type AttemptId = `${string}:${number}`;

/** The first frame on every link, in both directions. */
export interface Hello {
  t: 'hello';
  /** Protocol version; a link with an unknown major version is closed. */
  v: 1;
  role: 'entry' | 'agent';
  node: string;
  /** Random for each start of the process. */
  instance: string;
  dataCentre: string;
  region: string;
  intentOffset: number;
}

/** Load of one upstream as its agent knows it; rides on pongs and on ends of attempts. */
export interface Load {
  queued: number;
  running: number;
  /** Requests served a second, smoothed. */
  drainPerSecond: number;
  leaving: boolean;
}

/** Heartbeat. */
export interface Ping {
  t: 'ping';
  seq: number;
  intentOffset: number;
}

/** Answer to a heartbeat. */
export interface Pong {
  t: 'pong';
  seq: number;
  intentOffset: number;
  load?: Load;
}

/** An idempotency key as the caller gave it, scoped by organisation, and its body's hash. */
export interface IdempotencyKey {
  key: string;
  bodyHash: string;
}

/** Entry to agent: run this attempt. */
export interface Dispatch {
  t: 'dispatch';
  id: AttemptId;
  organisation: string;
  class: string;
  priority: 'live' | 'normal' | 'background';
  mayNotRepeat: boolean;
  /** Time left until the class's target, in milliseconds. */
  budgetMs: number;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  idempotency?: IdempotencyKey;
  /** Resume a stream after this event id (Last-Event-ID). */
  resumeAfter?: string;
}

/** Entry to agent: the caller has gone, or the attempt lost its use. */
export interface Cancel {
  t: 'cancel';
  id: AttemptId;
}

/** Entry to agent, after a reconnect: what became of this attempt? Unknown ids get a tombstone. */
export interface Query {
  t: 'query';
  id: AttemptId;
  /** Whether the entry holds the answer's head; the agent sends it again if not. */
  headReceived: boolean;
  /** Bytes of the answer that the entry holds; what was sent beyond them was lost with the link. */
  received: number;
}

/** Bytes of an answer that an agent may send before the first `credit`. */
export const INITIAL_CREDIT_BYTES = 262_144;

/** Entry to agent: `bytes` more of the answer may be sent. */
export interface Credit {
  t: 'credit';
  id: AttemptId;
  bytes: number;
}

/** Agent to entry: the upstream has been given the attempt. */
export interface Started {
  t: 'started';
  id: AttemptId;
}

/** Agent to entry: status and headers of the upstream's answer. */
export interface Head {
  t: 'head';
  id: AttemptId;
  status: number;
  headers: Record<string, string>;
}

/** Agent to entry: bytes of the answer, from `offset` on. */
export interface Chunk {
  t: 'chunk';
  id: AttemptId;
  offset: number;
  data: Uint8Array;
}

/** Agent to entry: the answer is whole; `length` is its size in bytes. */
export interface End {
  t: 'end';
  id: AttemptId;
  length: number;
  load: Load;
}

/** Why an agent did not run an attempt, or could not finish it. */
export type AgentReason =
  | 'queue-full'
  | 'deadline-unreachable'
  | 'deadline-passed'
  | 'leaving'
  | 'cancelled'
  | 'upstream-unreachable'
  | 'upstream-refused'
  | 'upstream-broke-off'
  | 'claim-log-down'
  | 'claim-not-confirmed'
  | 'claim-lost'
  | 'claim-key-reused'
  | 'claim-key-expired'
  | 'agent-restarted'
  | 'displaced'
  | 'never-arrived'
  | 'outcome-forgotten'
  | 'duplicate-in-progress'
  | 'duplicate-known';

/** Agent to entry: the attempt did not run and never will; its id has a tombstone. */
export interface NotRun {
  t: 'not-run';
  id: AttemptId;
  reason: AgentReason;
  retryAfterMs: number;
  load: Load;
}

/** Agent to entry: the attempt may have run and has no whole answer. */
export interface Unknown {
  t: 'unknown';
  id: AttemptId;
  reason: AgentReason;
  load: Load;
}

/** Agent to entry: answer to a query about an attempt that is still queued or running. */
export interface InProgress {
  t: 'in-progress';
  id: AttemptId;
  started: boolean;
}

/** Agent to everyone: no new work from now on. */
export interface Leaving {
  t: 'leaving';
}

/** A call between nodes (intent gaps, expert-map orders); answered by `reply`. */
export interface Call {
  t: 'call';
  seq: number;
  method: string;
  args: unknown;
}

/** Answer to a call. */
export interface Reply {
  t: 'reply';
  seq: number;
  ok: boolean;
  value: unknown;
}

/** A word to a peer that asks for no answer (shares of load, reports of ranks); it may be lost. */
export interface Note {
  t: 'note';
  method: string;
  args: unknown;
}

/** Every frame after the hello. */
export type Frame =
  | Ping
  | Pong
  | Dispatch
  | Cancel
  | Query
  | Credit
  | Started
  | Head
  | Chunk
  | End
  | NotRun
  | Unknown
  | InProgress
  | Leaving
  | Call
  | Reply
  | Note;
