import type { AttemptId } from '@plantaindrum/link';
import type { Outcome } from '../outcomes.js';
import type { AttemptEvent, AttemptStep, SentAttempt, SentState } from './types.js';

/**
 * Creates the entry's record of one attempt. "Not run" comes only from a send that never happened
 * or from the agent's own word; whatever else ends an attempt that was sent leaves it unknown.
 */
export const createSentAttempt = (id: AttemptId): SentAttempt => {
  let state: SentState = 'unsent';
  let outcome: Outcome | undefined;
  let answerBegun = false;

  const close = (final: Outcome): AttemptStep => {
    state = 'closed';
    outcome = final;
    return { step: 'closed', outcome: final };
  };

  const running = (): AttemptStep => {
    state = 'started';
    return { step: 'continue' };
  };

  const beforeSend = (event: AttemptEvent): AttemptStep => {
    if (event.kind === 'sent') {
      state = 'sent';
      return { step: 'continue' };
    }
    const endsHere = ['send-failed', 'gave-up', 'link-lost', 'instance-gone'].includes(event.kind);
    return endsHere ? close('not-run') : { step: 'late' };
  };

  const afterSend = (event: AttemptEvent): AttemptStep => {
    switch (event.kind) {
      case 'started':
        return running();
      case 'progress':
        answerBegun = true;
        return running();
      case 'end':
        return close('answered');
      case 'not-run':
        // An agent that takes back an answer it has begun breaks the protocol: nothing is proved.
        return close(answerBegun ? 'unknown' : 'not-run');
      case 'link-lost':
        return { step: 'query' };
      case 'unknown':
      case 'instance-gone':
      case 'gave-up':
        return close('unknown');
      case 'sent':
      case 'send-failed':
        return { step: 'late' };
      default:
        return event satisfies never;
    }
  };

  return {
    id,
    state: () => state,
    outcome: () => outcome,
    apply: (event) => {
      if (state === 'closed') return { step: 'late' };
      return state === 'unsent' ? beforeSend(event) : afterSend(event);
    },
  };
};
