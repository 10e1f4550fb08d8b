/** A call that carries an idempotency key. */
export interface ClaimRequest {
  organisation: string;
  key: string;
  /** SHA-256 of method, path and body. */
  bodyHash: string;
  /** How long the verdict may take, in milliseconds. */
  budgetMs: number;
}

/** The known end of a call, kept with its key. */
export interface ClaimOutcome {
  /** HTTP status of the answer. */
  status: number;
  contentType?: string;
  /** The body, in base64, when it is small enough to be kept. */
  body?: string;
}

/**
 * The verdict on a claim. Only `first` may run. Apart from `first`, the call of this claim did not
 * run; what became of the earlier call with the key is the verdict.
 */
export type ClaimVerdict =
  /** This claim is the first for its key: run it, then call `finish` or `release`. */
  | { verdict: 'first'; claim: ClaimId }
  /** The key's call was answered before. */
  | { verdict: 'known'; outcome: ClaimOutcome }
  /** The key's call is running, or was lost in a crash: outcome unknown. */
  | { verdict: 'held'; runningHere: boolean }
  /** The same key came with another body. */
  | { verdict: 'key-reused' }
  /** The key is older than the window. */
  | { verdict: 'key-expired' }
  /** The log took no claim: not run. */
  | { verdict: 'log-down'; retryAfterMs: number }
  /** The claim may stand in the log, but no reading confirmed it in time: not run, released. */
  | { verdict: 'not-confirmed'; retryAfterMs: number };

/** Names one claim: unique over all agents and restarts. */
export type ClaimId = string;

/** Claims on idempotency keys, as one agent makes them. */
export interface Claims {
  /** Settles who may run the call; never rejects. */
  claim(request: ClaimRequest): Promise<ClaimVerdict>;
  /**
   * The call of a `first` claim was answered. Resolves when the log has taken the outcome, which every later
   * call with the key then gets, or after `waitMs`; a call before that is refused as held.
   */
  finish(claim: ClaimId, outcome: ClaimOutcome, waitMs?: number): Promise<void>;
  /**
   * The call of a `first` claim provably never ran: its key is free again. Resolves when the log has
   * taken the release, or after `waitMs`; a retry through another agent before that is refused as
   * held.
   */
  release(claim: ClaimId, waitMs?: number): Promise<void>;
  /** The call of a `first` claim ended in an unknown way: the key stays taken. */
  abandon(claim: ClaimId): void;
  /** Resolves when nothing waits to be appended any more, or `ms` have passed. */
  flush(ms: number): Promise<void>;
  close(): void;
}
