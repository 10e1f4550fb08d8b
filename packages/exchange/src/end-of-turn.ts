/** Resolves after the events of all sockets that are ready in this turn of the event loop. */
export const endOfTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });
