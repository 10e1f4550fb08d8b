/** CPU time of processes, from `/proc`. */

import { readFile } from 'node:fs/promises';

/** Clock tick in which the kernel counts CPU time. */
const TICK_MS = 10;
/** Indexes of user and kernel time among the fields after the process name, which may contain blanks. */
const USER_TIME_FIELD = 11;
const KERNEL_TIME_FIELD = 12;

/** User and kernel time that a process has used, in ms, with a resolution of 10 ms. */
export const readCpuTimeMs = async (pid: number): Promise<number> => {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[KERNEL_TIME_FIELD])) * TICK_MS;
};
