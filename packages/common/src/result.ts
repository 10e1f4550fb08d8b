/** Result of an operation that can fail; broken invariants throw instead. */
export type Result<T, E> = { ok: true; value: T } | { ok: false; err: E };

/** Creates a successful result. */
export const ok = <T>(value: T): { ok: true; value: T } => ({ ok: true, value });

/** Creates a failed result. */
export const fail = <E>(err: E): { ok: false; err: E } => ({ ok: false, err });
