/** The command line's side of the operators' door. */

import type { Argv } from 'yargs';
import { request } from 'undici';
import { PlantaindrumError } from '@plantaindrum/common';
import type { CliIo } from './io.js';

/** Where a command finds a node. */
export interface OperatorsArgs {
  operators?: string;
  token?: string;
}

/** An answer of the operators' door. */
export interface OperatorsAnswer {
  status: number;
  body: unknown;
}

/** Calls one node's operators' door. */
export interface OperatorsClient {
  get(path: string): Promise<unknown>;
  post(path: string, body: unknown): Promise<OperatorsAnswer>;
}

const TIMEOUT_MS = 15_000;
const UNAUTHORISED = 401;

/** Adds `--operators` and `--token`. */
export const withOperators = <T>(args: Argv<T>) =>
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

const codeOf = (err: unknown): string => {
  const { code, name } = err as { code?: unknown; name?: unknown };
  return String(code ?? name ?? err);
};

/** Creates a client for the node that the arguments or the environment name. */
export const createOperatorsClient = (args: OperatorsArgs, io: CliIo): OperatorsClient => {
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
  ): Promise<OperatorsAnswer> => {
    try {
      const res = await request(`${address}${path}`, {
        method,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      return { status: res.statusCode, body: await res.body.json() };
    } catch (err) {
      throw new PlantaindrumError(
        'node-unreachable',
        { address, detail: codeOf(err) },
        { cause: err },
      );
    }
  };

  const checked = async (answer: Promise<OperatorsAnswer>): Promise<OperatorsAnswer> => {
    const settled = await answer;
    if (settled.status === UNAUTHORISED) throw new PlantaindrumError('not-authorised', { address });
    return settled;
  };

  return {
    get: async (path) => (await checked(send('GET', path))).body,
    post: (path, body) => checked(send('POST', path, body)),
  };
};
