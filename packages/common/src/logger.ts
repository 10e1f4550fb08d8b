import { createConsola } from 'consola';

/** A labelled logger; it is passed in, never global. */
export interface Logger {
  debug(message: string): void;
  info(message: string): void;
  warn(message: string): void;
  error(message: string): void;
  /** A logger whose lines carry one more label. */
  child(label: string): Logger;
}

/** Creates a logger that writes to standard error with the given label. */
export const createLogger = (label: string, level = 3): Logger => {
  const consola = createConsola({ level, stdout: process.stderr, stderr: process.stderr }).withTag(
    label,
  );
  return {
    debug: (message) => consola.debug(message),
    info: (message) => consola.info(message),
    warn: (message) => consola.warn(message),
    error: (message) => consola.error(message),
    child: (name) => createLogger(`${label}:${name}`, level),
  };
};

/** A logger that writes nothing. */
export const silentLogger: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
  child: () => silentLogger,
};
