import { createConsola } from 'consola';

/** A logger with a label; it is passed as a dependency, never global. */
export interface Logger {
  debug(message: string): void;
  info(message: string): void;
  warn(message: string): void;
  error(message: string): void;
  /** Returns a logger with a further label. */
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

/** A logger that discards every message. */
export const silentLogger: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
  child: () => silentLogger,
};
