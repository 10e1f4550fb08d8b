/** The outcome of an operation that may fail without breaking an invariant. */
export type Result<T, E> = { ok: true; value: T } | { ok: false; err: E };

/** A successful outcome. */
export const ok = <T>(value: T): { ok: true; value: T } => ({ ok: true, value });

/** A failed outcome. */
export const fail = <E>(err: E): { ok: false; err: E } => ({ ok: false, err });
