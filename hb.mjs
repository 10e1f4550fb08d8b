import { heartbeatLines } from './packages/lab/dist/experiments/slopes/heartbeats.js';
const l = await heartbeatLines([2,4,8,16,32,128,256], 4000, 1);
for (const [k,v] of Object.entries(l)) console.log(k, v.slope, v.intercept, v.r2, JSON.stringify(v.points));
