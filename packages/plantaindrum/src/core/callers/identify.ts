/** Who calls, for what, and in which class: all by the intent in force. */

import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Refusal, Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { ClassIntent, IntentDocument, IntentView, RouteIntent } from '@plantaindrum/intent';

/** The path of OpenAI completions. */
export const COMPLETIONS_PATH = '/v1/completions';

/** What a request asks for. */
export type RequestTarget =
  | { kind: 'model'; model: string; stream: boolean; prompt: string }
  | { kind: 'service'; service: string };

/** The class of a request. */
export interface RequestClass extends ClassIntent {
  name: string;
}

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Finds organisations by API key; the table is made anew with each version of the intent. */
export const createOrganisationLookup = (): ((
  view: IntentView,
  headers: IncomingHttpHeaders,
) => string | undefined) => {
  let indexedDocument: IntentDocument | undefined;
  let organisationByKeyHash = new Map<string, string>();

  const rebuildIndex = (document: IntentDocument): void => {
    indexedDocument = document;
    organisationByKeyHash = new Map(
      Object.entries(document.organisations).flatMap(([name, organisation]) =>
        organisation.keyHashes.map((hash) => [hash, name] as const),
      ),
    );
  };

  return (view, headers) => {
    if (view.document !== indexedDocument) rebuildIndex(view.document);
    const key = /^Bearer (.+)$/i.exec(headers.authorization ?? '')?.[1];
    return key === undefined ? undefined : organisationByKeyHash.get(sha256(key));
  };
};

/** Whole segments only: a route to `/exports` must not catch `/exports-archive`. */
const isUnderPrefix = (path: string, prefix: string): boolean => {
  if (!path.startsWith(prefix)) return false;
  const next = path[prefix.length];
  return prefix.endsWith('/') || next === undefined || next === '/' || next === '?';
};

/** The route with the longest prefix of the path. */
export const findRoute = (document: IntentDocument, path: string): RouteIntent | undefined =>
  Object.values(document.routes)
    .filter(({ pathPrefix }) => isUnderPrefix(path, pathPrefix))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];

const headerText = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** The name comes from a caller: it must not find what an object has by its nature. */
const findDeclaredClass = (document: IntentDocument, name: string): ClassIntent | undefined =>
  Object.hasOwn(document.classes, name) ? document.classes[name] : undefined;

/**
 * The class of a request: its header, else its route, else its organisation's default. A route to
 * calls that may not be repeated stays so in whatever class the caller names.
 */
export const findClass = (
  document: IntentDocument,
  headers: IncomingHttpHeaders,
  organisation: string,
  route: RouteIntent | undefined,
): Result<RequestClass, Refusal> => {
  const name =
    headerText(headers['x-plantaindrum-class']) ??
    route?.class ??
    document.organisations[organisation]?.defaultClass;
  const declared = name === undefined ? undefined : findDeclaredClass(document, name);
  if (name === undefined || !declared) {
    return fail({ reason: 'unknown-class', ...(name !== undefined && { data: { class: name } }) });
  }
  const routeClass = route && document.classes[route.class];
  const mayNotRepeat = declared.mayNotRepeat || (routeClass?.mayNotRepeat ?? false);
  return ok({ ...declared, name, mayNotRepeat });
};

const badRequest = (detail: string): { ok: false; err: Refusal } =>
  fail({ reason: 'bad-request', data: { detail } });

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
};

/** Reads the model's name and the wish for a stream from a completion request. */
export const parseCompletion = (body: Buffer): Result<RequestTarget, Refusal> => {
  const document = parseJson(body);
  if (typeof document !== 'object' || document === null) return badRequest('the body is not JSON');
  const { model, stream, prompt } = document as Record<string, unknown>;
  if (typeof model !== 'string' || model === '') return badRequest('"model" is missing');
  if (prompt === undefined) return badRequest('"prompt" is missing');
  if (stream !== undefined && typeof stream !== 'boolean') {
    return badRequest('"stream" is neither true nor false');
  }
  // Prompts may be lists of texts or tokens; routing only needs them to differ as texts do.
  const text = typeof prompt === 'string' ? prompt : JSON.stringify(prompt);
  return ok({ kind: 'model', model, stream: stream === true, prompt: text });
};
