/** Records that nodes publish about themselves in the platform's log. */

import { decodeJson, encodeJson, isObject } from '@plantaindrum/common';

/** A node's record in the log. */
export interface NodeRecord {
  node: string;
  /** Random for each start of the process. */
  instance: string;
  role: 'entry' | 'agent';
  dataCentre: string;
  /** Address on which the node accepts links. */
  host: string;
  port: number;
  /** An agent's expert group and the engine beside it. */
  group?: RankRecord | undefined;
}

/** An agent's rank in an expert group, and the address of its engine. */
export interface RankRecord {
  name: string;
  rank: number;
  engineHost: string;
  enginePort: number;
}

/** Encodes a node's record for the log. */
export const encodeNodeRecord = (record: NodeRecord): Uint8Array => encodeJson(record);

const decodeRank = (value: unknown): RankRecord | undefined => {
  if (!isObject(value)) return undefined;
  const { name, rank, engineHost, enginePort } = value;
  const isValid =
    typeof name === 'string' &&
    typeof rank === 'number' &&
    typeof engineHost === 'string' &&
    typeof enginePort === 'number';
  return isValid ? { name, rank, engineHost, enginePort } : undefined;
};

/** Decodes a node's record; undefined if it is malformed. */
export const decodeNodeRecord = (bytes: Uint8Array): NodeRecord | undefined => {
  const value = decodeJson(bytes);
  if (!isObject(value)) return undefined;
  const { node, instance, role, dataCentre, host, port } = value;
  const isValid =
    typeof node === 'string' &&
    typeof instance === 'string' &&
    (role === 'entry' || role === 'agent') &&
    typeof dataCentre === 'string' &&
    typeof host === 'string' &&
    typeof port === 'number';
  if (!isValid) return undefined;
  return { node, instance, role, dataCentre, host, port, group: decodeRank(value.group) };
};
