import { expect } from 'chai';
import { shortestPause } from '../src/index.js';

const route = (service: string, targetPauseMs: number | undefined) => ({
  services: [
    { service, weight: 1 },
    { service: 'shared', weight: 1 },
  ],
  targetPauseMs,
});

describe('the shortest pause that callers of a service want', () => {
  // One pass makes the events of all streams of a group, so the class that wants the shortest pause decides for all.
  it('is the least over all routes that lead to it', () => {
    const routes = [route('writer', 150), route('writer', 120), route('desk', undefined)];
    const pauses = ['writer', 'desk', 'shared', undefined].map((of) => shortestPause(routes, of));
    expect(pauses).to.deep.equal([120, undefined, 120, undefined]);
  });
});
