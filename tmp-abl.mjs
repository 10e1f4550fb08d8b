import { playDay } from './packages/lab/dist/emulator/day.js';
import { denseGroupDay } from './packages/lab/dist/emulator/sites.js';
import { fixedCap } from './packages/lab/dist/emulator/policies.js';
const days = { usual: {}, 'high': { perSecond: 46, shiftEveryMs: 2000 }, burst: { burst: { fromMs: 6000, toMs: 12000, factor: 1.7 } }, unreach44: { perSecond: 44, unreachable: { fromMs: 7000, toMs: 13000 } }, unreach50: { perSecond: 50, unreachable: { fromMs: 7000, toMs: 13000 } }, };
for (const [dn, d] of Object.entries(days)) {
  const w = [];
  for (const seed of [1, 2, 3]) { const f = await playDay({ ...denseGroupDay, ...d, seed }); w.push(f); }
  const m = (k) => (w.reduce((s, f) => s + f[k], 0) / w.length);
  console.log(dn, m('worth').toFixed(3), 'late', m('late').toFixed(0), 'refused', m('refused').toFixed(0));
}
