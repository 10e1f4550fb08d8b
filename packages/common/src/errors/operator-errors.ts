import type { CommandErrorEntry, RefusalEntry } from './types.js';
import { exitCodes } from './exit-codes.js';

/** Refusals of the operator server. */
export const operatorRefusals = {
  'operator-unauthorised': {
    title: 'Operator token missing or wrong',
    message: () => 'The operator server did not accept the token of this request.',
    hint: 'Send "Authorization: Bearer TOKEN" with the operators.token of this node\'s settings.',
    status: 401,
    outcome: 'not-run',
  },
  'operator-unknown-path': {
    title: 'Nothing is served at this path',
    message: ({ method, path }) =>
      `The operator server does not serve ${method ?? ''} ${path ?? 'this path'}.`,
    hint: 'It serves GET /ready, /metrics, /status, /nodes and /intent, and POST /intent.',
    status: 404,
    outcome: 'not-run',
  },
} as const satisfies Record<string, RefusalEntry>;

const location = (file: string | undefined, line: number | undefined): string =>
  [file ?? 'the file', ...(line === undefined ? [] : [`line ${line}`])].join(', ');

/** Errors of settings and intent files. */
export const fileErrors = {
  'file-unreadable': {
    title: 'File cannot be read',
    message: ({ file, detail }) => `${file ?? 'The file'} cannot be read: ${detail ?? 'unknown'}.`,
    hint: 'Check the path and the permissions.',
    exitCode: exitCodes.invalid,
  },
  'file-syntax': {
    title: 'Not JSON with comments',
    message: ({ file, line, detail }) => `${location(file, line)}: ${detail ?? 'syntax error'}.`,
    hint: 'Comments and trailing commas are allowed; keys and strings need double quotes.',
    exitCode: exitCodes.invalid,
  },
  'key-invalid': {
    title: 'Invalid value',
    message: ({ file, line, key, found, expected }) =>
      `${location(file, line)}: ${key ?? 'a key'} is ${found ?? 'nothing'}, expected ${expected ?? 'another value'}.`,
    hint: 'Correct the value, then run "plantaindrum check" again.',
    exitCode: exitCodes.invalid,
  },
} as const satisfies Record<string, CommandErrorEntry>;

/** Errors of the command line. */
export const commandErrors = {
  usage: {
    title: 'Wrong usage',
    message: ({ detail }) => `${detail ?? 'The arguments could not be understood'}.`,
    hint: 'Run the command with --help.',
    exitCode: exitCodes.usage,
  },
  'intent-conflict': {
    title: 'Another change came first',
    message: ({ key, detail }) =>
      `${key ?? 'A key'} has changed since this change was made${detail ? `: ${detail}` : ''}.`,
    hint: 'Look at "plantaindrum show", merge by hand and apply again.',
    exitCode: exitCodes.conflict,
  },
  'intent-invalid': {
    title: 'The intent is not valid',
    message: ({ key, found, expected, detail }) =>
      detail ??
      `${key ?? 'A key'} is ${found ?? 'nothing'}, expected ${expected ?? 'another value'}.`,
    hint: 'Nothing was changed; correct the file and apply it again.',
    exitCode: exitCodes.invalid,
  },
  'intent-unknown': {
    title: 'It is not known whether the change was accepted',
    message: ({ id }) => `The log did not confirm change ${id ?? ''} in time.`,
    hint: 'Apply the same file again with the same --id; it cannot take effect twice.',
    exitCode: exitCodes.unknown,
  },
  'node-unreachable': {
    title: 'The node cannot be reached',
    message: ({ address, detail }) =>
      `${address ?? 'The operator server'} does not answer${detail ? `: ${detail}` : ''}.`,
    hint: 'Check the address; any entry or agent will do for status, any entry for changes.',
    exitCode: exitCodes.unreachable,
  },
  'not-authorised': {
    title: 'Operator token missing or wrong',
    message: ({ address }) => `${address ?? 'The node'} did not accept the token.`,
    hint: "Give the operators.token of that node's settings by --token or PLANTAINDRUM_TOKEN.",
    exitCode: exitCodes.unreachable,
  },
  'listen-failed': {
    title: 'Cannot listen',
    message: ({ address, detail }) =>
      `Listening on ${address ?? 'the address'} failed: ${detail ?? 'unknown'}.`,
    hint: 'Another process may hold the port, or the address is not one of this VM.',
    exitCode: exitCodes.unreachable,
  },
} as const satisfies Record<string, CommandErrorEntry>;
