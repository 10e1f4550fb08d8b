import type { FormArgs, HeartbeatAnswer } from '../messages.js';
import { defaultTimings } from '../types.js';
import type { CoordinatorOptions } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { isOvertaken, isRefused } from './group-calls.js';

/** Outcome of an attempt to form the group. */
export type FormOutcome = 'formed' | 'overtaken' | 'incomplete';

/** Whether an engine has a blank rank, which has no map in memory. */
export const isBlank = ({ ranks }: HeartbeatAnswer): boolean =>
  ranks.some(({ version }) => version === null);

/**
 * Forms the group with a full map. Engines that have a map are formed before blank ones: the group
 * can't step while a rank is blank, so it never steps with different maps, even if the coordinator
 * is lost in between.
 */
export const formGroup = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  replies: ReadonlyMap<string, HeartbeatAnswer>,
  args: FormArgs,
): Promise<FormOutcome> => {
  const timings = { ...defaultTimings, ...options.timings };
  const formed = [...replies].filter(([, reply]) => !isBlank(reply)).map(([node]) => node);
  const blank = [...replies].filter(([, reply]) => isBlank(reply)).map(([node]) => node);
  for (const nodes of [formed, blank]) {
    const answers = await calls.callAll(nodes, 'experts.form', args, timings.prepareCallMs);
    if (isOvertaken(answers.values())) return 'overtaken';
    if ([...answers.values()].some((answer) => !answer || isRefused(answer))) return 'incomplete';
  }
  return 'formed';
};
