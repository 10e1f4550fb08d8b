/** Header fields that belong to one connection and are not passed on (RFC 9110, section 7.6.1). */
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

/** Fields of a request that the HTTP client sets itself. */
const SET_BY_CLIENT = new Set(['host', 'content-length', 'expect']);

const namedByConnection = (connection: string | undefined): Set<string> =>
  new Set((connection ?? '').split(',').map((name) => name.trim().toLowerCase()));

/** The header of a request to the upstream. */
export const upstreamHeaders = (
  headers: Record<string, string>,
  resumeAfter: string | undefined,
): Record<string, string> => {
  const lower = Object.entries(headers).map(
    ([name, value]) => [name.toLowerCase(), value] as const,
  );
  const named = namedByConnection(lower.find(([name]) => name === 'connection')?.[1]);
  const kept = lower.filter(
    ([name]) => !HOP_BY_HOP.has(name) && !SET_BY_CLIENT.has(name) && !named.has(name),
  );
  const passed = Object.fromEntries(kept);
  return resumeAfter === undefined ? passed : { ...passed, 'last-event-id': resumeAfter };
};

/** The header of an upstream's answer as it travels to the entry. */
export const answerHeaders = (
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> => {
  const kept: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || HOP_BY_HOP.has(name)) return;
    kept[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return kept;
};
