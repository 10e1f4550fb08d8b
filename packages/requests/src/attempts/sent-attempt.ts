import type { AttemptId } from '@plantaindrum/link';
import type { Outcome } from '../outcomes.js';
import type { AttemptEvent, AttemptStep, SentAttempt, SentState } from './types.js';

/**
 * Creates the entry's record of one attempt. The outcome is `not-run` only when the dispatch was
 * never sent or the agent reported it; any other end of a sent attempt leaves it `unknown`.
 */
export const createSentAttempt = (id: AttemptId): SentAttempt => {
  let state: SentState = 'unsent';
  let outcome: Outcome | undefined;
  let answerBegun = false;

  const close = (finalOutcome: Outcome): AttemptStep => {
    state = 'closed';
    outcome = finalOutcome;
    return { step: 'closed', outcome: finalOutcome };
  };

  const markStarted = (): AttemptStep => {
    state = 'started';
    return { step: 'continue' };
  };

  const applyBeforeSend = (event: AttemptEvent): AttemptStep => {
    if (event.kind === 'sent') {
      state = 'sent';
      return { step: 'continue' };
    }
    const provesNotSent = ['send-failed', 'gave-up', 'link-lost', 'instance-gone'].includes(
      event.kind,
    );
    return provesNotSent ? close('not-run') : { step: 'late' };
  };

  const applyAfterSend = (event: AttemptEvent): AttemptStep => {
    switch (event.kind) {
      case 'started':
        return markStarted();
      case 'progress':
        answerBegun = true;
        return markStarted();
      case 'end':
        return close('answered');
      case 'not-run':
        // After part of the answer, `not-run` violates the protocol and proves nothing.
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
      return state === 'unsent' ? applyBeforeSend(event) : applyAfterSend(event);
    },
  };
};
