import type { RefusalEntry } from './types.js';

const quotedName = (kind: string, name: string | undefined): string =>
  name === undefined ? `the ${kind}` : `${kind} "${name}"`;

const limitText = (limit: number | undefined): string =>
  limit === undefined ? '' : ` of ${limit} bytes`;

/** Refusals of requests that fail again until their sender changes them. */
export const requestRefusals = {
  'bad-request': {
    title: 'Malformed request',
    message: ({ detail }) => `The request could not be read: ${detail ?? 'it is malformed'}.`,
    hint: 'Correct the request; sent again as it is, it fails again.',
    status: 400,
    outcome: 'not-run',
  },
  'unknown-key': {
    title: 'API key missing or unknown',
    message: () => 'No organisation has declared the API key of this request.',
    hint: 'Send "Authorization: Bearer KEY" with a key whose SHA-256 hash stands in the intent.',
    status: 401,
    outcome: 'not-run',
  },
  'unknown-class': {
    title: 'Unknown class of work',
    message: ({ class: name }) =>
      name === undefined
        ? 'The request names no class, and neither its route nor its organisation has one.'
        : `Operators have declared no class "${name}".`,
    hint: 'Name a declared class in the x-plantaindrum-class header, or have operators declare it.',
    status: 400,
    outcome: 'not-run',
  },
  'unknown-route': {
    title: 'Nothing is served at this path',
    message: ({ method, path }) => `No route leads from ${method ?? ''} ${path ?? 'this path'}.`,
    hint: 'Use /v1/completions or a path prefix that operators have declared under routes.',
    status: 404,
    outcome: 'not-run',
  },
  'method-not-allowed': {
    title: 'Method not allowed',
    message: ({ method, path }) => `${path ?? 'This path'} does not take ${method ?? 'it'}.`,
    hint: 'Completions take POST.',
    status: 405,
    outcome: 'not-run',
  },
  'body-too-large': {
    title: 'Request body too large',
    message: ({ limit }) => `The body is larger than the limit${limitText(limit)}.`,
    hint: 'Send a shorter prompt, or have operators raise limits.bodyBytes on every entry.',
    status: 413,
    outcome: 'not-run',
  },
  'header-too-large': {
    title: 'Request header too large',
    message: ({ limit }) => `The header is larger than the limit${limitText(limit)}.`,
    hint: 'Send fewer or shorter header fields.',
    status: 431,
    outcome: 'not-run',
  },
  'claim-key-reused': {
    title: 'Idempotency key used with another body',
    message: () => 'An earlier request of this organisation had the same key and another body.',
    hint: 'Give each new request a key of its own.',
    status: 422,
    outcome: 'not-run',
  },
} as const satisfies Record<string, RefusalEntry>;

/**
 * Refusals of a repeated call with the same idempotency key. The repeat itself is not run, but the original
 * call may have been. The sender needs the outcome of the original, so `unknown` is reported.
 */
export const repeatRefusals = {
  'claim-key-expired': {
    title: 'Idempotency key too old',
    message: () => 'The key is older than the time for which records of keys are kept.',
    hint: 'Find out from the called service what became of the call, then use a new key.',
    status: 409,
    outcome: 'unknown',
  },
  'claim-lost': {
    title: 'Another request holds this idempotency key',
    message: () => 'A request with the same key came first; it runs, or its outcome is unknown.',
    hint: 'Ask again with the same key; if it stays so, ask the called service what became of it.',
    status: 409,
    outcome: 'unknown',
  },
  'duplicate-in-progress': {
    title: 'The same request is in progress',
    message: () => 'A request with the same idempotency key is running.',
    hint: 'Ask again with the same key after Retry-After to learn its outcome.',
    status: 409,
    outcome: 'unknown',
  },
  'duplicate-known': {
    title: 'The same request has been answered',
    message: () => 'A request with the same key was answered before; its answer is no longer held.',
    hint: 'Do not send the call again; ask the called service for its result.',
    status: 409,
    outcome: 'unknown',
  },
} as const satisfies Record<string, RefusalEntry>;

/** Refusals for lack of capacity or readiness; the same request may succeed later. */
export const capacityRefusals = {
  'too-many-connections': {
    title: 'Too many connections',
    message: ({ limit }) => `This node already holds ${limit ?? 'its limit of'} connections.`,
    hint: 'Reuse connections; operators can raise limits.connections or add entry VMs.',
    status: 503,
    outcome: 'not-run',
  },
  'not-ready': {
    title: 'This node is not ready',
    message: ({ detail }) => `This node does not serve yet${detail ? `: ${detail}` : ''}.`,
    hint: 'Come back after Retry-After; "plantaindrum status" shows what the node waits for.',
    status: 503,
    outcome: 'not-run',
  },
  'data-centre-stopping': {
    title: 'This data centre is stopping',
    message: ({ dataCentre }) => `Operators are stopping ${quotedName('data centre', dataCentre)}.`,
    hint: 'Connect again; the balancer in front leads to another data centre.',
    status: 503,
    outcome: 'not-run',
  },
  'no-upstream': {
    title: 'No upstream can take the request',
    message: ({ upstream }) =>
      `No live upstream serves ${upstream === undefined ? 'this' : `"${upstream}"`}.`,
    hint: 'Come back after Retry-After; operators see upstreams in "plantaindrum status".',
    status: 503,
    outcome: 'not-run',
  },
  'queue-full': {
    title: 'Queue full',
    message: ({ upstream }) => `The queue of ${quotedName('upstream', upstream)} is full.`,
    hint: 'Come back after Retry-After, which follows from the measured drain rate.',
    status: 429,
    outcome: 'not-run',
  },
  displaced: {
    title: 'Displaced by more urgent work',
    message: ({ class: name }) =>
      `More urgent work took the place of ${quotedName('class', name)}.`,
    hint: 'Come back after Retry-After, or have operators review the priority of the class.',
    status: 429,
    outcome: 'not-run',
  },
  'deadline-unreachable': {
    title: 'The target of the class cannot be met',
    message: ({ class: name }) =>
      `At the current rate ${quotedName('class', name)} would be answered late.`,
    hint: 'Come back after Retry-After; operators can add upstreams or relax the target.',
    status: 429,
    outcome: 'not-run',
  },
  'deadline-passed': {
    title: 'The target passed while the request waited',
    message: ({ class: name }) => `The latest answer of ${quotedName('class', name)} has passed.`,
    hint: 'Send it again if the answer is still of use.',
    status: 503,
    outcome: 'not-run',
  },
  leaving: {
    title: 'The upstream is leaving',
    message: ({ upstream }) => `The chosen VM for ${quotedName('upstream', upstream)} is leaving.`,
    hint: 'Come back after Retry-After; other upstreams take the work.',
    status: 503,
    outcome: 'not-run',
  },
  'upstream-unreachable': {
    title: 'The upstream could not be reached',
    message: ({ upstream }) =>
      `No connection to ${quotedName('upstream', upstream)} could be made.`,
    hint: 'Come back after Retry-After; operators should look at the VM.',
    status: 503,
    outcome: 'not-run',
  },
  'never-arrived': {
    title: 'The request did not reach its upstream',
    message: ({ upstream }) =>
      `The agent of ${quotedName('upstream', upstream)} never received it.`,
    hint: 'Come back after Retry-After; the link broke before the request arrived.',
    status: 503,
    outcome: 'not-run',
  },
  'claim-log-down': {
    title: 'The log service is down',
    message: () => 'The call may run only once, and the log that would prove it is down.',
    hint: 'Come back after Retry-After with the same idempotency key.',
    status: 503,
    outcome: 'not-run',
  },
  'claim-not-confirmed': {
    title: 'The claim was not confirmed in time',
    message: () => 'The log has not confirmed the right to run this call, so it did not run.',
    hint: 'Ask again with the same idempotency key after Retry-After.',
    status: 503,
    outcome: 'not-run',
  },
} as const satisfies Record<string, RefusalEntry>;

/** Refusals of requests that may have run but have no complete response. */
export const unknownRefusals = {
  'link-lost': {
    title: 'The link to the upstream was lost',
    message: ({ upstream }) =>
      `The link to ${quotedName('upstream', upstream)} ended before the answer.`,
    hint: 'Repeat the request only if that does no harm, or with its idempotency key.',
    status: 502,
    outcome: 'unknown',
  },
  'agent-restarted': {
    title: 'The process beside the upstream restarted',
    message: ({ upstream }) =>
      `The agent of ${quotedName('upstream', upstream)} restarted and lost its records.`,
    hint: 'Repeat the request only if that does no harm, or with its idempotency key.',
    status: 502,
    outcome: 'unknown',
  },
  'outcome-forgotten': {
    title: 'The outcome is no longer known',
    message: ({ upstream }) =>
      `The agent of ${quotedName('upstream', upstream)} no longer holds it.`,
    hint: 'Repeat the request only if that does no harm, or with its idempotency key.',
    status: 502,
    outcome: 'unknown',
  },
  'upstream-refused': {
    title: 'The upstream refused the request',
    message: ({ upstream }) =>
      `${quotedName('upstream', upstream)} answered that it can't serve it now.`,
    hint: 'Come back after Retry-After; operators should look at the engine.',
    status: 502,
    outcome: 'unknown',
  },
  'upstream-broke-off': {
    title: 'The upstream broke off its answer',
    message: ({ upstream }) => `The answer of ${quotedName('upstream', upstream)} ended too early.`,
    hint: 'Discard the part that arrived; repeat the request only if that does no harm.',
    status: 502,
    outcome: 'unknown',
  },
  'answer-timeout': {
    title: 'No answer in time',
    message: ({ class: name }) =>
      `Work of ${quotedName('class', name)} started but did not end in time.`,
    hint: 'Repeat the request only if that does no harm, or with its idempotency key.',
    status: 504,
    outcome: 'unknown',
  },
  cancelled: {
    title: 'Cancelled',
    message: () => 'The caller closed the connection before the answer was complete.',
    hint: 'Nothing to do when the caller meant it; otherwise raise the timeout of the client.',
    status: 502,
    outcome: 'unknown',
  },
} as const satisfies Record<string, RefusalEntry>;
