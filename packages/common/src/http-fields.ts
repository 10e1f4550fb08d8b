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

/** Names that a Connection field lists, in lower case: these fields are hop-by-hop too. */
export const connectionOptions = (value: string | undefined): Set<string> =>
  new Set((value ?? '').split(',').map((name) => name.trim().toLowerCase()));

/** Whether a message announces a body. */
export const announcesBody = (headers: NodeJS.Dict<string | string[]>): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
