import type { FormArgs, HeartbeatAnswer } from '../messages.js';
import { defaultTimings } from '../types.js';
import type { CoordinatorOptions } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { isOvertaken, isRefused } from './group-calls.js';

/** What became of an attempt to form the group. */
export type FormOutcome = 'formed' | 'overtaken' | 'incomplete';

/** Whether an engine has nothing in memory, or one of its ranks. */
export const isBlank = ({ ranks }: HeartbeatAnswer): boolean =>
  ranks.some(({ version }) => version === null);

/**
 * Forms the group with a full map. Engines that still have a map go first, blank ones last: the
 * group can't step while a rank is blank, so it never steps with some ranks on the old map and
 * some on the new one, wherever this stops.
 */
export const formGroup = async (
  options: CoordinatorOptions,
  calls: GroupCalls,
  beats: ReadonlyMap<string, HeartbeatAnswer>,
  args: FormArgs,
): Promise<FormOutcome> => {
  const timings = { ...defaultTimings, ...options.timings };
  const formed = [...beats].filter(([, beat]) => !isBlank(beat)).map(([node]) => node);
  const blank = [...beats].filter(([, beat]) => isBlank(beat)).map(([node]) => node);
  for (const nodes of [formed, blank]) {
    const answers = await calls.askAll(nodes, 'experts.form', args, timings.prepareCallMs);
    if (isOvertaken(answers.values())) return 'overtaken';
    if ([...answers.values()].some((answer) => !answer || isRefused(answer))) return 'incomplete';
  }
  return 'formed';
};
