/** A call that carries an idempotency key. */
export interface ClaimRequest {
  organisation: string;
  key: string;
  /** SHA-256 of method, path and body. */
  bodyHash: string;
  /** Timeout of the verdict, in milliseconds. */
  budgetMs: number;
}

/** Outcome of an answered call, stored with its key. */
export interface ClaimOutcome {
  /** HTTP status of the answer. */
  status: number;
  contentType?: string;
  /** The body in base64, if it is small enough to be stored. */
  body?: string;
}

/**
 * Verdict on a claim. Only `first` may run. With any other verdict the call of this claim did not
 * run, and the verdict tells what is known of the earlier call with the key.
 */
export type ClaimVerdict =
  /**
   * This claim is the first for its key: run the call, then `finish`, `release` or `abandon` it.
   */
  | { verdict: 'first'; claim: ClaimId }
  /** An earlier call with the key was answered. */
  | { verdict: 'known'; outcome: ClaimOutcome }
  /** An earlier call with the key is running, or was lost in a crash: outcome unknown. */
  | { verdict: 'held'; runningHere: boolean }
  /** The key was used before with another body. */
  | { verdict: 'key-reused' }
  /** The key is older than the window. */
  | { verdict: 'key-expired' }
  /** The log did not accept the claim: not run. */
  | { verdict: 'log-down'; retryAfterMs: number }
  /** The claim may be in the log, but no read confirmed it in time: not run, and released. */
  | { verdict: 'not-confirmed'; retryAfterMs: number };

/** Id of a claim, unique across agents and restarts. */
export type ClaimId = string;

/** Claims of one agent on idempotency keys. */
export interface Claims {
  /** Determines whether the call may run; the promise never rejects. */
  claim(request: ClaimRequest): Promise<ClaimVerdict>;
  /**
   * Records that the call of a `first` claim was answered. Resolves when the log holds the outcome,
   * which later calls with the key then get, or after `waitMs`. Until then, such calls are refused
   * as held.
   */
  finish(claim: ClaimId, outcome: ClaimOutcome, waitMs?: number): Promise<void>;
  /**
   * Frees the key of a `first` claim whose call is known not to have run. Resolves when the log
   * holds the release, or after `waitMs`. Until then, a retry through another agent is refused as
   * held.
   */
  release(claim: ClaimId, waitMs?: number): Promise<void>;
  /** Records that the call of a `first` claim ended with an unknown outcome: the key stays held. */
  abandon(claim: ClaimId): void;
  /** Resolves when no append is pending, or after `ms` milliseconds. */
  flush(ms: number): Promise<void>;
  /** Stops retrying appends. */
  close(): void;
}
