/** Whether a decoded value is an object with named fields. */
export const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Whether a decoded value is a finite number. */
export const isNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value);

/** Whether a decoded value is a list of finite numbers. */
export const isNumbers = (value: unknown): value is number[] =>
  Array.isArray(value) && value.every(isNumber);
