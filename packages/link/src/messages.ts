/** The frames sent between entries and agents, and between agents. */

/** Id of an attempt: the instance of the entry that made it, and a counter of that entry. */
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

/** Load of one upstream as its agent knows it; sent with pongs and with the frames that end an attempt. */
export interface Load {
  queued: number;
  running: number;
  /** Requests served per second, smoothed. */
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

/** The caller's idempotency key, which is scoped by organisation, and the hash of the request body. */
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

/** Entry to agent: cancel this attempt, since the caller disconnected or its answer is no longer needed. */
export interface Cancel {
  t: 'cancel';
  id: AttemptId;
}

/** Entry to agent, after a reconnect: queries the outcome of an attempt. An unknown id gets a tombstone. */
export interface Query {
  t: 'query';
  id: AttemptId;
  /** Whether the entry has received the answer's head; if not, the agent sends it again. */
  headReceived: boolean;
  /** Bytes of the answer that the entry has received; later bytes were lost with the link. */
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

/** Agent to entry: the attempt has been sent to the upstream. */
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

/** Agent to entry: the answer is complete; `length` is its size in bytes. */
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

/** Agent to entry: the attempt may have run and has no complete answer. */
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

/** Agent to all peers: it accepts no new work from now on. */
export interface Leaving {
  t: 'leaving';
}

/** A call between nodes, such as to fetch intent or to change an expert map; answered by `reply`. */
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

/** A message without a reply, such as a load update or a rank's report; it may be lost. */
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
