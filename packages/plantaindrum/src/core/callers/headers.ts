import type { IncomingHttpHeaders } from 'node:http';
import { isHopByHop, isSetAnew } from '@plantaindrum/common';

const endsHere = (name: string): boolean => isHopByHop(name) || isSetAnew(name);

const OWN_PREFIX = 'x-plantaindrum-';

/** Header fields that go on to the upstream; the caller's API key stays here. */
export const forwardedHeaders = (headers: IncomingHttpHeaders): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !endsHere(name) && name !== 'authorization')
      .filter(([name]) => !name.startsWith(OWN_PREFIX))
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : (value ?? '')]),
  );

/** Header fields of an upstream's answer that go on to the caller. */
export const answeredHeaders = (headers: Record<string, string>): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !endsHere(name.toLowerCase()))
      // Only this entry says what became of a request.
      .filter(([name]) => !name.toLowerCase().startsWith(OWN_PREFIX)),
  );
