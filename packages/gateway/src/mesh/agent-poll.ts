/** Asks agents to read the log, until one answers: the store may turn some of them away, too. */

import { sleep } from '@plantaindrum/common';
import type { Clock, Random } from '@plantaindrum/common';

/** Agents that are asked in turn. */
export interface AgentPoll<Agent, Answer> {
  /** Replaces the agents that may be asked. */
  setAgents(agents: readonly Agent[]): void;
  /**
   * Asks the agent that answered last, or else two agents; if these don't answer at once, two more. Those that have not
   * been asked for the longest time come first. Resolves to the first answer; undefined if there is none.
   */
  ask(topic: string): Promise<Answer | undefined>;
}

/** Options of `createAgentPoll`. */
export interface AgentPollOptions<Agent, Answer> {
  /** Asks one agent; undefined if it has not answered. */
  call: (agent: Agent, topic: string) => Promise<Answer | undefined>;
  clock: Clock;
  random: Random;
}

/** Number of agents that are asked at once while none is known to answer. Each costs a call to the store. */
const AGENTS_AT_ONCE = 2;
/** Time after which more agents are asked, in ms; an answer takes some 10 ms. */
const HEDGE_DELAY_MS = 200;

/** Resolves to the first answer; undefined if there is none. */
const firstAnswer = <Answer>(
  answers: readonly Promise<Answer | undefined>[],
): Promise<Answer | undefined> =>
  new Promise((resolve) => {
    answers.forEach((pending) => {
      void pending.then((answer) => answer !== undefined && resolve(answer));
    });
    void Promise.all(answers).then(() => resolve(undefined));
  });

/** Creates the poll of an entry that knows no agents yet. */
export const createAgentPoll = <Agent extends { node: string }, Answer>(
  options: AgentPollOptions<Agent, Answer>,
): AgentPoll<Agent, Answer> => {
  const { call, clock, random } = options;
  /** Agents in the order in which they are asked. */
  let queue: Agent[] = [];
  let lastAnswered: string | undefined;

  const askOne = async (agent: Agent, topic: string): Promise<Answer | undefined> => {
    queue = [...queue.filter((queued) => queued !== agent), agent];
    const answer = await call(agent, topic);
    if (answer !== undefined) lastAnswered = agent.node;
    else if (lastAnswered === agent.node) lastAnswered = undefined;
    return answer;
  };

  return {
    setAgents: (agents) => {
      const position = new Map(queue.map(({ node }, at) => [node, at]));
      const keys = new Map(
        agents.map((agent) => [agent, position.get(agent.node) ?? random() * agents.length]),
      );
      queue = [...agents].sort((a, b) => (keys.get(a) ?? 0) - (keys.get(b) ?? 0));
    },
    ask: async (topic) => {
      const askNext = (): Promise<Answer | undefined>[] =>
        queue.slice(0, AGENTS_AT_ONCE).map((agent) => askOne(agent, topic));
      const known = queue.find(({ node }) => node === lastAnswered);
      const answer = firstAnswer(known ? [askOne(known, topic)] : askNext());
      const hasAnswered = answer.then((value) => value !== undefined);
      const isAnswered = await Promise.race([
        hasAnswered,
        sleep(clock, HEDGE_DELAY_MS).then(() => false),
      ]);
      return isAnswered ? answer : firstAnswer([answer, ...askNext()]);
    },
  };
};
