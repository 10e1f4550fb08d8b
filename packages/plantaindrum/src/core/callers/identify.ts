/** Finds the organisation, route, class and target of a request by the intent in force. */

import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Refusal, Result } from '@plantaindrum/common';
import { decodeJson, fail, ok } from '@plantaindrum/common';
import type { ClassIntent, IntentDocument, IntentView, RouteIntent } from '@plantaindrum/intent';

/** The path of OpenAI completions. */
export const COMPLETIONS_PATH = '/v1/completions';

/** The model or service that a request asks for. */
export type RequestTarget =
  | { kind: 'model'; model: string; stream: boolean; prompt: string }
  | { kind: 'service'; service: string };

/** A class of the intent with its name. */
export interface RequestClass extends ClassIntent {
  name: string;
}

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Creates a lookup of organisations by API key; its index is rebuilt when the intent changes. */
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

/** Matches whole path segments: a route for `/exports` must not match `/exports-archive`. */
const isUnderPrefix = (path: string, prefix: string): boolean => {
  if (!path.startsWith(prefix)) return false;
  const next = path[prefix.length];
  return prefix.endsWith('/') || next === undefined || next === '/' || next === '?';
};

/** Finds the route with the longest prefix that matches the path. */
export const findRoute = (document: IntentDocument, path: string): RouteIntent | undefined =>
  Object.values(document.routes)
    .filter(({ pathPrefix }) => isUnderPrefix(path, pathPrefix))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];

const headerText = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** Callers choose the name, so it must not match an inherited property such as `constructor`. */
const findDeclaredClass = (document: IntentDocument, name: string): ClassIntent | undefined =>
  Object.hasOwn(document.classes, name) ? document.classes[name] : undefined;

/**
 * Finds the class of a request: from its header, else its route, else the default of its
 * organisation. When the class of the route says `mayNotRepeat`, the result does too, whatever
 * class the caller names.
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

/** Parses the fields of a completion request that routing needs. */
export const parseCompletion = (body: Buffer): Result<RequestTarget, Refusal> => {
  const document = decodeJson(body);
  if (typeof document !== 'object' || document === null) return badRequest('the body is not JSON');
  const { model, stream, prompt } = document as Record<string, unknown>;
  if (typeof model !== 'string' || model === '') return badRequest('"model" is missing');
  if (prompt === undefined) return badRequest('"prompt" is missing');
  if (stream !== undefined && typeof stream !== 'boolean') {
    return badRequest('"stream" is neither true nor false');
  }
  // A prompt may be a list of texts or tokens; routing only needs a text that identifies it.
  const text = typeof prompt === 'string' ? prompt : JSON.stringify(prompt);
  return ok({ kind: 'model', model, stream: stream === true, prompt: text });
};
