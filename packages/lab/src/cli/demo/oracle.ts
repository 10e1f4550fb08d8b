import type { GroupOracle } from '../../harness/stand-ins.js';
import { groupOracle, serviceCounts } from '../../harness/stand-ins.js';
import type { Site } from '../../harness/site-types.js';
import type { Oracle } from './summary.js';

const addAll = (total: Record<string, number>, counts: Record<string, number>): void =>
  Object.entries(counts).forEach(([path, count]) => {
    // eslint-disable-next-line no-param-reassign
    total[path] = (total[path] ?? 0) + count;
  });

/** The first version that a group stepped with is no change. */
const changesOf = (group: GroupOracle): number => Object.keys(group.stepsByVersion).length - 1;

/** Asks every stand-in of a site for its own counts. */
export const readOracle = async (site: Site): Promise<Oracle> => {
  const replicas = site.services.flatMap((service) => service.processes);
  const services = await Promise.all(replicas.map((child) => serviceCounts(child.ready.control)));
  const groups = await Promise.all(
    site.groups.map((group) => groupOracle(group.process.ready.control)),
  );
  const byPath: Record<string, number> = {};
  services.forEach((counts) => addAll(byPath, counts.byPath));
  return {
    byPath,
    steps: groups.reduce((sum, group) => sum + group.steps, 0),
    mixedSteps: groups.reduce((sum, group) => sum + group.mixedSteps, 0),
    mapChanges: groups.reduce((sum, group) => sum + changesOf(group), 0),
  };
};
