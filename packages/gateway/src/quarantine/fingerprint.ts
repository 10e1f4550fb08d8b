import { createHash } from 'node:crypto';

/** The parts of a request that identify its work; ids and times are left out, as they differ between attempts. */
export interface RequestContent {
  method: string;
  /** Path and query string as the caller sent them. */
  path: string;
  organisation: string | undefined;
  body: Uint8Array;
}

/** Length of a fingerprint in hexadecimal digits: 128 bits, so that different requests don't collide by chance. */
export const FINGERPRINT_CHARS = 32;

/** Computes the fingerprint of a request's content, in hexadecimal. */
export const fingerprintOf = ({ method, path, organisation, body }: RequestContent): string =>
  createHash('sha256')
    // The body's length comes before the body, so that different contents never yield the same hash input.
    .update(JSON.stringify([method, path, organisation ?? null, body.length]))
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_CHARS);
