import { connectionOptions, isHopByHop, isSetByClient } from '@plantaindrum/common';

/** Header fields of a request to the upstream. */
export const upstreamHeaders = (
  headers: Record<string, string>,
  resumeAfter: string | undefined,
): Record<string, string> => {
  const lower = Object.entries(headers).map(
    ([name, value]) => [name.toLowerCase(), value] as const,
  );
  const named = connectionOptions(lower.find(([name]) => name === 'connection')?.[1]);
  const kept = lower.filter(
    ([name]) => !isHopByHop(name) && !isSetByClient(name) && !named.has(name),
  );
  const forwarded = Object.fromEntries(kept);
  return resumeAfter === undefined ? forwarded : { ...forwarded, 'last-event-id': resumeAfter };
};

/** Header fields of an upstream's answer that are sent to the entry. */
export const answerHeaders = (
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> => {
  const kept: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || isHopByHop(name)) return;
    kept[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return kept;
};
