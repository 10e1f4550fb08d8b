import { expect } from 'chai';
import { runSoak } from '../src/soak/soak.js';

const SHORT_MS = 7_000;

describe('a soak of the programs under faults', () => {
  // Entries and agents are killed, stopped, suspended and reconfigured while callers make calls. The
  // store meanwhile rejects requests, doesn't respond, loses responses or loses records. No guarantee
  // may be violated, and all entries must serve again afterwards.
  it('keeps every guarantee', async () => {
    const lines: string[] = [];
    const result = await runSoak({
      seed: 2,
      lengthMs: SHORT_MS,
      print: (line) => lines.push(line),
    });
    expect(lines).to.deep.equal([]);
    expect(result.violations).to.deep.equal([]);
    expect(result.faults).to.be.above(3);
    expect(result.answered).to.be.above(50);
  }).timeout(60_000);
});
