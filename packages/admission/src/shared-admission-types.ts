import type { Clock, Random } from '@plantaindrum/common';
import type { ArrivingRequest } from './return-times.js';

/** A request for a stream. */
export interface StreamRequestInfo extends ArrivingRequest {
  /** 0 is the most urgent. */
  priority: number;
  /** Target to the first event, from the arrival, in ms. */
  targetMs: number;
  /** Monotonic times, in ms. */
  arrivedAt: number;
  deadlineAt: number;
  /** The caller has received a part of the stream and resumes it. */
  hasBegun: boolean;
}

/** Room of a service at all entries, as far as this one may use it. */
export interface ServiceRoom {
  /** Streams up to which waiting requests are sent, and beyond which passes exceed the target pause. */
  target: number;
  max: number;
  /** Streams that it can hold once it has taken them up; more than `target` while the load grows. */
  capacity: number;
  slots: number;
  /** Streams in flight from all entries. */
  inFlight: number;
  /** Age of the newest observed pause, in ms; undefined without one. */
  ageMs: number | undefined;
}

/** Values that a refusal was decided by. */
export interface RefusalInputs {
  /** Requests of at least the same urgency that wait at all entries. */
  backlog: number;
  inFlight: number;
  room: number;
  roomAgeMs: number | undefined;
  priority: number;
}

/** How the admission of a request ended. */
export type AdmissionVerdict =
  | { outcome: 'send'; waitedMs: number; isReturning: boolean }
  | {
      outcome: 'refused';
      reason: 'upstreams-full' | 'pace-too-slow' | 'queue-full';
      retryAfterMs: number;
      inputs: RefusalInputs;
    };

/** A request at the admission, until it has ended. */
export interface AdmissionTicket {
  /** The caller has disconnected: a waiting request leaves the queue. */
  cancel(): void;
  /** The request counts as in flight at its upstream from now on. */
  recordBegun(): void;
  /** The request has ended, completely or not. */
  recordEnded(isComplete: boolean): void;
}

/** Options of `createSharedAdmission`. */
export interface SharedAdmissionOptions {
  clock: Clock;
  random: Random;
  room: () => ServiceRoom;
  /** Entries that share the room, including this one. */
  entries: () => number;
  /** Requests that wait at the other entries, by priority. */
  waitingElsewhere: () => ReadonlyMap<number, number>;
}

/** Admission of one service's streams at one entry. */
export interface SharedAdmission {
  /** Decides on a request at once or after a wait; `settle` is called exactly once unless the request is cancelled. */
  offer(info: StreamRequestInfo, settle: (verdict: AdmissionVerdict) => void): AdmissionTicket;
  /** Records the time from sending a request to its first event, in ms. */
  recordFirstEvent(ms: number): void;
  /** Waiting requests by priority. */
  waiting(): Record<string, number>;
  /** Mean duration of a stream, in ms. */
  streamMs(): number;
  size(): number;
  close(): void;
}
