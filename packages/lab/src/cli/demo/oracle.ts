import type { GroupOracle } from '../../harness/stand-ins.js';
import { groupOracle, serviceCounts } from '../../harness/stand-ins.js';
import type { Site } from '../../harness/site-types.js';
import type { Oracle } from './summary.js';

const addCounts = (total: Record<string, number>, counts: Record<string, number>): void =>
  Object.entries(counts).forEach(([path, count]) => {
    // eslint-disable-next-line no-param-reassign
    total[path] = (total[path] ?? 0) + count;
  });

/** Counts map changes; the first version that a group used is no change. */
const countMapChanges = (group: GroupOracle): number =>
  Object.keys(group.stepsByVersion).length - 1;

/** Fetches the counts of every stand-in of a site. */
export const readOracle = async (site: Site): Promise<Oracle> => {
  const replicas = site.services.flatMap((service) => service.processes);
  const services = await Promise.all(replicas.map((child) => serviceCounts(child.ready.control)));
  const groups = await Promise.all(
    site.groups.map((group) => groupOracle(group.process.ready.control)),
  );
  const byPath: Record<string, number> = {};
  services.forEach((counts) => addCounts(byPath, counts.byPath));
  return {
    byPath,
    steps: groups.reduce((sum, group) => sum + group.steps, 0),
    mixedSteps: groups.reduce((sum, group) => sum + group.mixedSteps, 0),
    mapChanges: groups.reduce((sum, group) => sum + countMapChanges(group), 0),
  };
};
