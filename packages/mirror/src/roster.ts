/** Nodes of this system as they have published themselves in the platform's log. */

import { decodeJson, encodeJson, isObject } from '@plantaindrum/common';

/** What a node publishes of itself. */
export interface NodeRecord {
  node: string;
  /** Random for each start of the process. */
  instance: string;
  role: 'entry' | 'agent';
  dataCentre: string;
  /** Where it takes links. */
  host: string;
  port: number;
  /** An agent's expert group and the engine beside it. */
  group?: RankPlace | undefined;
}

/** Where an agent stands in an expert group. */
export interface RankPlace {
  name: string;
  rank: number;
  engineHost: string;
  enginePort: number;
}

/** A node's record as the bytes that are kept in the log. */
export const encodeNode = (record: NodeRecord): Uint8Array => encodeJson(record);

const decodePlace = (value: unknown): RankPlace | undefined => {
  if (!isObject(value)) return undefined;
  const { name, rank, engineHost, enginePort } = value;
  const isSound =
    typeof name === 'string' &&
    typeof rank === 'number' &&
    typeof engineHost === 'string' &&
    typeof enginePort === 'number';
  return isSound ? { name, rank, engineHost, enginePort } : undefined;
};

/** Reads a node's record; undefined when it isn't one. */
export const decodeNode = (bytes: Uint8Array): NodeRecord | undefined => {
  const value = decodeJson(bytes);
  if (!isObject(value)) return undefined;
  const { node, instance, role, dataCentre, host, port } = value;
  const isSound =
    typeof node === 'string' &&
    typeof instance === 'string' &&
    (role === 'entry' || role === 'agent') &&
    typeof dataCentre === 'string' &&
    typeof host === 'string' &&
    typeof port === 'number';
  if (!isSound) return undefined;
  return { node, instance, role, dataCentre, host, port, group: decodePlace(value.group) };
};
