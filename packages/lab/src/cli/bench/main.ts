/** `npm run bench`: prints unit costs as ratios to the simplest code that does the same. */

import { measureRequestCost } from '../../bench/request-cost.js';
import { measureUnitCosts } from '../../bench/unit-costs.js';

const SEED = 1;

const costs = [...measureUnitCosts(SEED), await measureRequestCost(SEED)];
costs.forEach(({ name, against, ratio }) => {
  process.stdout.write(`${ratio.toFixed(1).padStart(6)}  ${name}, against ${against}\n`);
});
