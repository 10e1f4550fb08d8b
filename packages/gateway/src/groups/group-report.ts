/** Notes about the state of rank groups: from agents, and between entries. */

import { isNumber, isObject } from '@plantaindrum/common';
import { readList } from '../mesh/read-list.js';

/** State of a group as its sender knows it. */
export interface GroupReport {
  group: string;
  /** Increases each time the group forms; -1 where it isn't known. */
  epoch: number;
  isOpen: boolean;
  /** Unix time of the start of the engine that reports, in ms; 0 where it isn't known. */
  startedAt: number;
  /** How long the state has been so, in ms. */
  ageMs: number;
}

/** A rank that has just refused a request, or whose streams have just broken off. */
export interface RankRefusal {
  group: string;
  instance: string;
}

/** Content of one note to another entry. */
export interface GroupUpdate {
  states: GroupReport[];
  refusals: RankRefusal[];
  /** Groups to which the sender is sending a probe: the others wait for its outcome. */
  probes: string[];
}

/** Max list entries of each kind in one note: bounds the work that a peer can cause here. */
const MAX_PER_NOTE = 256;
/** Longest group name in a note, in characters. */
const MAX_NAME_LENGTH = 256;

const isName = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH;

const isReport = (value: Record<string, unknown>): boolean =>
  isName(value.group) &&
  isNumber(value.epoch) &&
  typeof value.isOpen === 'boolean' &&
  isNumber(value.startedAt) &&
  isNumber(value.ageMs) &&
  value.ageMs >= 0;

/** Reads an agent's report; undefined when the value isn't one. */
export const readGroupReport = (value: unknown): GroupReport | undefined =>
  isObject(value) && isReport(value) ? (value as unknown as GroupReport) : undefined;

/** Reads the update of another entry; undefined when the value isn't one. */
export const readGroupUpdate = (value: unknown): GroupUpdate | undefined => {
  if (!isObject(value)) return undefined;
  const states = readList<GroupReport>(value.states, MAX_PER_NOTE, isReport);
  const refusals = readList<RankRefusal>(
    value.refusals,
    MAX_PER_NOTE,
    ({ group, instance }) => isName(group) && isName(instance),
  );
  const { probes } = value;
  const areProbesValid =
    Array.isArray(probes) && probes.length <= MAX_PER_NOTE && probes.every(isName);
  if (!states || !refusals || !areProbesValid) return undefined;
  return { states, refusals, probes };
};
