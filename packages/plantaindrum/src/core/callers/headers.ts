import type { IncomingHttpHeaders } from 'node:http';
import { isHopByHop, isSetAnew } from '@plantaindrum/common';

const isNotForwarded = (name: string): boolean => isHopByHop(name) || isSetAnew(name);

const RESERVED_PREFIX = 'x-plantaindrum-';

/** Header fields that go on to the upstream; the caller's API key stays here. */
export const forwardedHeaders = (headers: IncomingHttpHeaders): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !isNotForwarded(name) && name !== 'authorization')
      .filter(([name]) => !name.startsWith(RESERVED_PREFIX))
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : (value ?? '')]),
  );

/** Header fields of an upstream's answer that go on to the caller. */
export const responseHeaders = (headers: Record<string, string>): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !isNotForwarded(name.toLowerCase()))
      // Only this entry says what became of a request.
      .filter(([name]) => !name.toLowerCase().startsWith(RESERVED_PREFIX)),
  );
