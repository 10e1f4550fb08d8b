import type { IncomingHttpHeaders } from 'node:http';
import { isHopByHop, isSetByClient } from '@plantaindrum/common';

const isNotForwarded = (name: string): boolean => isHopByHop(name) || isSetByClient(name);

/** Fields with this prefix are set by entries only. */
const RESERVED_PREFIX = 'x-plantaindrum-';

/** Header fields of a request that are forwarded to the upstream; the API key is not. */
export const forwardedHeaders = (headers: IncomingHttpHeaders): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !isNotForwarded(name) && name !== 'authorization')
      .filter(([name]) => !name.startsWith(RESERVED_PREFIX))
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : (value ?? '')]),
  );

/** Header fields of an upstream's response that are forwarded to the caller. */
export const responseHeaders = (headers: Record<string, string>): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !isNotForwarded(name.toLowerCase()))
      // Only this entry reports the outcome of a request.
      .filter(([name]) => !name.toLowerCase().startsWith(RESERVED_PREFIX)),
  );
