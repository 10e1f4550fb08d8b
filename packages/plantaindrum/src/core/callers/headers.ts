import type { IncomingHttpHeaders } from 'node:http';

/** Header fields that belong to one connection (RFC 9110, 7.6.1) or are set anew on each. */
const HOP_BY_HOP = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const OWN_PREFIX = 'x-plantaindrum-';

/** Header fields that go on to the upstream; the caller's API key stays here. */
export const forwardedHeaders = (headers: IncomingHttpHeaders): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !HOP_BY_HOP.has(name) && name !== 'authorization')
      .filter(([name]) => !name.startsWith(OWN_PREFIX))
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : (value ?? '')]),
  );

/** Header fields of an upstream's answer that go on to the caller. */
export const answeredHeaders = (headers: Record<string, string>): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !HOP_BY_HOP.has(name.toLowerCase()))
      // Only this entry says what became of a request.
      .filter(([name]) => !name.toLowerCase().startsWith(OWN_PREFIX)),
  );
