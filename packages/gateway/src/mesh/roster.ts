/** Nodes of this system as they have published themselves in the platform's log. */

import { isObject } from '../values.js';

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
}

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** A node's record as the bytes that are kept in the log. */
export const encodeNode = (record: NodeRecord): Uint8Array => encoder.encode(JSON.stringify(record));

/** Reads a node's record; undefined when it isn't one. */
export const decodeNode = (bytes: Uint8Array): NodeRecord | undefined => {
  let value: unknown;
  try {
    value = JSON.parse(decoder.decode(bytes));
  } catch {
    return undefined;
  }
  if (!isObject(value)) return undefined;
  const { node, instance, role, dataCentre, host, port } = value;
  const isSound =
    typeof node === 'string' &&
    typeof instance === 'string' &&
    (role === 'entry' || role === 'agent') &&
    typeof dataCentre === 'string' &&
    typeof host === 'string' &&
    typeof port === 'number';
  return isSound ? { node, instance, role, dataCentre, host, port } : undefined;
};
