/** Header fields that apply to one connection and are not forwarded (RFC 9110, 7.6.1). */
const HOP_BY_HOP_FIELDS = new Set([
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

/** Fields that an HTTP client sets itself on each connection. */
const CLIENT_MANAGED_FIELDS = new Set(['host', 'content-length', 'expect']);

/** Whether a header field (name in lower case) applies to a single hop. */
export const isHopByHop = (name: string): boolean => HOP_BY_HOP_FIELDS.has(name);

/** Whether a request's header field (name in lower case) is set by the client that forwards it. */
export const isSetByClient = (name: string): boolean => CLIENT_MANAGED_FIELDS.has(name);
