import { createHash } from 'node:crypto';

/** What makes two requests the same work: ids and times differ from one try to the next. */
export interface RequestContent {
  method: string;
  /** Path and query as the caller sent them. */
  path: string;
  organisation: string | undefined;
  body: Uint8Array;
}

/** Characters of a fingerprint: 128 bits, so that two requests don't share one by chance. */
export const FINGERPRINT_CHARS = 32;

/** Fingerprint of a request's content, in hexadecimal. */
export const fingerprintOf = ({ method, path, organisation, body }: RequestContent): string =>
  createHash('sha256')
    // Lengths come first, so that no two contents are joined to the same text.
    .update(JSON.stringify([method, path, organisation ?? null, body.length]))
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_CHARS);
