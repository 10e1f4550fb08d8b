/**
 * Calls to many ranks at once: they are relayed along routes, and answers are joined on the way
 * back.
 *
 * A relay that exits, freezes or does not answer costs the answers of the ranks below it, and the
 * caller sees which ones are missing. A call that arrives twice or late is as harmless as the order
 * in it (see `switch-map.ts`), because each rank answers only for itself and no relay answers in
 * its place.
 */

import { isObject } from '@plantaindrum/common';
import type { Link } from '@plantaindrum/link';
import type { Route } from './group-tree.js';

/** A method that the ranks of a group can be called with together. */
export interface TreeMethod<Answer> {
  /** Runs the method at this rank; undefined when there is no answer. */
  run(args: unknown, timeoutMs: number): Promise<Answer | undefined>;
  /** Validates a received answer; undefined when it is invalid. */
  read(value: unknown): Answer | undefined;
  /** Encodes the answer for a link; without this function it is sent unchanged. */
  write?(answer: Answer): unknown;
  join(parts: readonly Answer[]): Answer;
  /** Returns the ranks that an answer covers. */
  ranks(answer: Answer): readonly number[];
}

/** The methods of a group's agents by name. */
export type TreeMethods<Answers> = { readonly [Name in keyof Answers]: TreeMethod<Answers[Name]> };

/** One call to several ranks. */
export interface TreeCall<Name> {
  method: Name;
  args: unknown;
  routes: readonly Route[];
  /** Timeout for all answers, in ms. */
  timeoutMs: number;
}

/** Makes and serves calls along trees at one agent. */
export interface TreeCalls<Answers> {
  /** Calls the ranks of the routes; the answer covers only those that answered in time. */
  call<Name extends keyof Answers & string>(call: TreeCall<Name>): Promise<Answers[Name]>;
  /** Handles a call from another agent: runs it here and relays it. */
  handle(args: unknown): Promise<unknown>;
}

/** Options of `createTreeCalls`. */
export interface TreeCallsOptions<Answers> {
  linkTo: (rank: number) => Link | undefined;
  methods: TreeMethods<Answers>;
}

/** Method name of these calls on links. */
export const TREE_CALL = 'rank.tree';

/**
 * Fraction of the timeout that the agents below get; the rest is for the return of their joined
 * answer.
 */
const SUBTREE_TIME_FRACTION = 0.85;

/**
 * A route on the wire: a number for a single rank, otherwise the rank followed by the routes below
 * it.
 */
type WireRoute = number | [number, ...WireRoute[]];

const toWire = ({ rank, below }: Route): WireRoute =>
  below.length === 0 ? rank : [rank, ...below.map(toWire)];

const readRoute = (value: unknown): Route | undefined => {
  if (typeof value === 'number') return { rank: value, below: [] };
  if (!Array.isArray(value) || typeof value[0] !== 'number') return undefined;
  const below = value.slice(1).map(readRoute);
  const isValid = below.every((route) => route !== undefined);
  return isValid ? { rank: value[0], below } : undefined;
};

const readCall = (value: unknown) => {
  if (!isObject(value)) return undefined;
  const { method, args, timeoutMs, below } = value;
  if (typeof method !== 'string' || typeof timeoutMs !== 'number') return undefined;
  const routes = Array.isArray(below) ? below.map(readRoute) : [];
  const isValid = routes.every((route) => route !== undefined);
  return isValid ? { method, args, timeoutMs, routes } : undefined;
};

/** Creates the calls of one agent. */
export const createTreeCalls = <Answers>(
  options: TreeCallsOptions<Answers>,
): TreeCalls<Answers> => {
  const { linkTo, methods } = options;

  const callRoute = async <Name extends keyof Answers & string>(
    { rank, below }: Route,
    { method, args, timeoutMs }: TreeCall<Name>,
  ): Promise<Answers[Name] | undefined> => {
    const call = {
      method,
      args,
      timeoutMs: timeoutMs * SUBTREE_TIME_FRACTION,
      below: below.map(toWire),
    };
    const reply = await linkTo(rank)?.call(TREE_CALL, call, timeoutMs);
    return reply?.outcome === 'answered' ? methods[method].read(reply.value) : undefined;
  };

  const callRoutes = async <Name extends keyof Answers & string>(
    call: TreeCall<Name>,
    own?: Promise<Answers[Name] | undefined>,
  ): Promise<Answers[Name]> => {
    const subtrees = call.routes.map((route) => callRoute(route, call));
    const parts = await Promise.all(own ? [own, ...subtrees] : subtrees);
    return methods[call.method].join(parts.flatMap((part) => (part === undefined ? [] : [part])));
  };

  const isMethod = (name: string): name is keyof Answers & string => Object.hasOwn(methods, name);

  return {
    call: callRoutes,
    handle: async (value) => {
      const call = readCall(value);
      if (!call || !isMethod(call.method)) return undefined;
      const { method, args, timeoutMs, routes } = call;
      const handler = methods[method];
      const answer = await callRoutes(
        { method, args, timeoutMs, routes },
        handler.run(args, timeoutMs),
      );
      return handler.write ? handler.write(answer) : answer;
    },
  };
};
