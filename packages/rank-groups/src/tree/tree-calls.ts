/**
 * Calls to many ranks at once: passed on along routes, answers joined on the way back.
 *
 * A relay that dies, freezes or says nothing costs the answers of the ranks below it, and the caller
 * sees which are missing. A call that arrives twice or late is as harmless as the order in it (see
 * `switch-map.ts`): only a rank itself answers for it, no relay does in its place.
 */

import { isObject } from '@plantaindrum/common';
import type { Link } from '@plantaindrum/link';
import type { Route } from './group-tree.js';

/** What the ranks of a group can be asked together. */
export interface TreeMethod<Answer> {
  /** This rank's part; undefined when it has nothing to say. */
  run(args: unknown, timeoutMs: number): Promise<Answer | undefined>;
  /** Checks what came over a link; undefined when it is no such answer. */
  read(value: unknown): Answer | undefined;
  /** The answer as it goes over a link; as it is where this is left out. */
  write?(answer: Answer): unknown;
  join(parts: readonly Answer[]): Answer;
  /** Ranks that an answer speaks for. */
  ranks(answer: Answer): readonly number[];
}

/** The methods of a group's agents, by name, with what each answers. */
export type TreeMethods<Answers> = { readonly [Name in keyof Answers]: TreeMethod<Answers[Name]> };

/** One call. */
export interface TreeCall<Name> {
  method: Name;
  args: unknown;
  routes: readonly Route[];
  /** Time for all answers, in ms. */
  timeoutMs: number;
}

/** Calls of one agent along trees, its own and those that it passes on. */
export interface TreeCalls<Answers> {
  /** Asks the ranks of the routes; only those that answered in time are in the answer. */
  ask<Name extends keyof Answers & string>(call: TreeCall<Name>): Promise<Answers[Name]>;
  /** Serves a call from another agent: runs it here and passes it on. */
  serve(args: unknown): Promise<unknown>;
}

/** Options of `createTreeCalls`. */
export interface TreeCallsOptions<Answers> {
  linkTo: (rank: number) => Link | undefined;
  methods: TreeMethods<Answers>;
}

/** Name under which links carry these calls. */
export const TREE_CALL = 'rank.tree';

/** Part of the time that the agents below have: the rest is for their joined answer to come back. */
const TIME_BELOW = 0.85;

/** A route on the wire: a number for a rank alone, else the rank and what is below it. */
type WireRoute = number | [number, ...WireRoute[]];

const toWire = ({ rank, below }: Route): WireRoute =>
  below.length === 0 ? rank : [rank, ...below.map(toWire)];

const readRoute = (value: unknown): Route | undefined => {
  if (typeof value === 'number') return { rank: value, below: [] };
  if (!Array.isArray(value) || typeof value[0] !== 'number') return undefined;
  const below = value.slice(1).map(readRoute);
  const isSound = below.every((route) => route !== undefined);
  return isSound ? { rank: value[0], below } : undefined;
};

const readCall = (value: unknown) => {
  if (!isObject(value)) return undefined;
  const { method, args, timeoutMs, below } = value;
  if (typeof method !== 'string' || typeof timeoutMs !== 'number') return undefined;
  const routes = Array.isArray(below) ? below.map(readRoute) : [];
  const isSound = routes.every((route) => route !== undefined);
  return isSound ? { method, args, timeoutMs, routes } : undefined;
};

/** Creates the calls of one agent. */
export const createTreeCalls = <Answers>(
  options: TreeCallsOptions<Answers>,
): TreeCalls<Answers> => {
  const { linkTo, methods } = options;

  const askRoute = async <Name extends keyof Answers & string>(
    { rank, below }: Route,
    { method, args, timeoutMs }: TreeCall<Name>,
  ): Promise<Answers[Name] | undefined> => {
    const call = { method, args, timeoutMs: timeoutMs * TIME_BELOW, below: below.map(toWire) };
    const reply = await linkTo(rank)?.call(TREE_CALL, call, timeoutMs);
    return reply?.outcome === 'answered' ? methods[method].read(reply.value) : undefined;
  };

  const ask = async <Name extends keyof Answers & string>(
    call: TreeCall<Name>,
    own?: Promise<Answers[Name] | undefined>,
  ): Promise<Answers[Name]> => {
    const asked = call.routes.map((route) => askRoute(route, call));
    const parts = await Promise.all(own ? [own, ...asked] : asked);
    return methods[call.method].join(parts.flatMap((part) => (part === undefined ? [] : [part])));
  };

  const isMethod = (name: string): name is keyof Answers & string => Object.hasOwn(methods, name);

  return {
    ask,
    serve: async (value) => {
      const call = readCall(value);
      if (!call || !isMethod(call.method)) return undefined;
      const { method, args, timeoutMs, routes } = call;
      const serving = methods[method];
      const answer = await ask({ method, args, timeoutMs, routes }, serving.run(args, timeoutMs));
      return serving.write ? serving.write(answer) : answer;
    },
  };
};
