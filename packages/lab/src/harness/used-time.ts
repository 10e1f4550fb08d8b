/** Processor time of processes, as the kernel counts it. */

import { readFile } from 'node:fs/promises';

/** A tick of the kernel's count of processor time, in ms. */
const TICK_MS = 10;
/** Fields of a process's state after its name, which may hold blanks: user and kernel time. */
const USER_TIME = 11;
const KERNEL_TIME = 12;

/** User and kernel time that a process has used, in ms; in steps of 10. */
export const usedMs = async (pid: number): Promise<number> => {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TIME]) + Number(fields[KERNEL_TIME])) * TICK_MS;
};
