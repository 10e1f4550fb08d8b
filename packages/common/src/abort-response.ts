import type { ServerResponse } from 'node:http';

/**
 * Ends a response so that its caller sees that it is not complete. Without chunks, as for an HTTP/1.0 caller, a response
 * ends with its connection, and only a reset distinguishes a truncated one.
 */
export const abortResponse = (res: ServerResponse): void => {
  if (!res.useChunkedEncodingByDefault) res.socket?.resetAndDestroy();
  res.destroy();
};
