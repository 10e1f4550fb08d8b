const SIGNALS: NodeJS.Signals[] = ['SIGINT', 'SIGTERM'];

/** Resolves with the next signal that asks this process to end. */
export const nextSignal = (): Promise<NodeJS.Signals> =>
  new Promise((resolve) => {
    const take = (signal: NodeJS.Signals): void => {
      SIGNALS.forEach((name) => process.off(name, take));
      resolve(signal);
    };
    SIGNALS.forEach((name) => process.on(name, take));
  });
