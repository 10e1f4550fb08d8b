import { expect } from 'chai';
import { createManualClock, createSeededRandom, systemClock } from '@plantaindrum/common';
import { createAgentPoll } from '../src/mesh/agent-poll.js';

const agents = ['a', 'b', 'c', 'd', 'e', 'f'].map((node) => ({ node }));

describe('polling agents for the log', () => {
  // The store turns an entry and most agents away. Asked at random, the same agents may fail again and again, and the
  // entry serves callers by an old version of the intent.
  it('asks each agent once before it asks one again', async () => {
    for (let seed = 1; seed <= 50; seed += 1) {
      const asked: string[] = [];
      const poll = createAgentPoll({
        call: async ({ node }) => {
          asked.push(node);
          return undefined;
        },
        clock: systemClock,
        random: createSeededRandom(seed),
      });
      poll.setAgents(agents);
      await poll.ask('t');
      expect(await poll.ask('t')).to.equal(undefined);
      asked.splice(agents.length);
      expect([...asked].sort()).to.deep.equal(['a', 'b', 'c', 'd', 'e', 'f']);
    }
  });

  // While an entry depends on agents, each further one that is asked costs a call to the store.
  it('stays with the agent that answered, until it does not', async () => {
    const asked: string[] = [];
    const served = new Set(['c', 'e']);
    const poll = createAgentPoll({
      call: async ({ node }) => {
        asked.push(node);
        return served.has(node) ? node : undefined;
      },
      clock: systemClock,
      random: createSeededRandom(1),
    });
    poll.setAgents(agents);
    let first: string | undefined;
    while (first === undefined) first = await poll.ask('t');
    const before = asked.length;
    poll.setAgents([...agents, { node: 'g' }]);
    for (let n = 0; n < 3; n += 1) expect(await poll.ask('t')).to.equal(first);
    expect(asked).to.have.lengthOf(before + 3);
    served.delete(first);
    let second: string | undefined;
    while (second === undefined) second = await poll.ask('t');
    expect([first, second].sort()).to.deep.equal(['c', 'e']);
  });

  // The agent that has answered so far is turned away as well, and gives no answer.
  it('asks others when the known agent is silent', async () => {
    const clock = createManualClock();
    let silent: string | undefined;
    const poll = createAgentPoll<{ node: string }, string>({
      call: ({ node }) => (node === silent ? new Promise(() => {}) : Promise.resolve(node)),
      clock,
      random: createSeededRandom(1),
    });
    poll.setAgents(agents);
    silent = await poll.ask('t');
    const answer = poll.ask('t');
    await clock.advance(300);
    expect(await answer)
      .to.be.a('string')
      .that.does.not.equal(silent);
  });

  it('has no answer without agents', async () => {
    const poll = createAgentPoll({
      call: async () => 1,
      clock: systemClock,
      random: createSeededRandom(1),
    });
    expect(await poll.ask('t')).to.equal(undefined);
  });
});
