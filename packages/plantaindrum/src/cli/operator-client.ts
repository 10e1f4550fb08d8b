/** HTTP client of the operator server of a node. */

import type { Argv } from 'yargs';
import { request } from 'undici';
import { PlantaindrumError } from '@plantaindrum/common';
import type { CliIo } from './io.js';

/** Arguments that say which node a command calls. */
export interface OperatorArgs {
  operators?: string;
  token?: string;
}

/** Response of an operator server. */
export interface OperatorResponse {
  status: number;
  body: unknown;
}

/** Client of one operator server; throws when the node is unreachable or the token is wrong. */
export interface OperatorClient {
  get(path: string): Promise<unknown>;
  post(path: string, body: unknown): Promise<OperatorResponse>;
}

const REQUEST_TIMEOUT_MS = 15_000;
const UNAUTHORISED = 401;

/** Adds `--operators` and `--token`. */
export const withOperatorOptions = <T>(args: Argv<T>) =>
  args
    .option('operators', {
      type: 'string',
      describe: "Address of a node's operators' door [PLANTAINDRUM_OPERATORS]",
    })
    .option('token', { type: 'string', describe: 'Its bearer token [PLANTAINDRUM_TOKEN]' });

const required = (value: string | undefined, option: string, variable: string): string => {
  if (value) return value;
  throw new PlantaindrumError('usage', { detail: `--${option} or ${variable} is missing` });
};

const errorCode = (err: unknown): string => {
  const { code, name } = err as { code?: unknown; name?: unknown };
  return String(code ?? name ?? err);
};

/** Creates a client for the node given by the arguments or, without them, by the environment. */
export const createOperatorClient = (args: OperatorArgs, io: CliIo): OperatorClient => {
  const address = required(
    args.operators ?? io.env.PLANTAINDRUM_OPERATORS,
    'operators',
    'PLANTAINDRUM_OPERATORS',
  ).replace(/\/$/, '');
  const token = required(args.token ?? io.env.PLANTAINDRUM_TOKEN, 'token', 'PLANTAINDRUM_TOKEN');

  const send = async (
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<OperatorResponse> => {
    try {
      const res = await request(`${address}${path}`, {
        method,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      return { status: res.statusCode, body: await res.body.json() };
    } catch (err) {
      throw new PlantaindrumError(
        'node-unreachable',
        { address, detail: errorCode(err) },
        { cause: err },
      );
    }
  };

  const requireAuthorised = async (
    pending: Promise<OperatorResponse>,
  ): Promise<OperatorResponse> => {
    const res = await pending;
    if (res.status === UNAUTHORISED) throw new PlantaindrumError('not-authorised', { address });
    return res;
  };

  return {
    get: async (path) => (await requireAuthorised(send('GET', path))).body,
    post: (path, body) => requireAuthorised(send('POST', path, body)),
  };
};
