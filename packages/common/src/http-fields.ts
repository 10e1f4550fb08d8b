/** Header fields that belong to one connection and are not passed on (RFC 9110, 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Fields that each HTTP client sets anew for its own connection. */
const SET_ANEW = new Set(['host', 'content-length', 'expect']);

/** Whether a header field, by its name in lower case, ends at each hop. */
export const isHopByHop = (name: string): boolean => HOP_BY_HOP.has(name);

/** Whether a header field of a request is left to the client that sends it on. */
export const isSetAnew = (name: string): boolean => SET_ANEW.has(name);
