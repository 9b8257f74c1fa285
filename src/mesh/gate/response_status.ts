/** Which statuses of instances are responses to a request. */

/** Statuses below are interim responses, which never answer a request. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Whether a status can end a request. The parser of Node.js accepts any three
 * digits, and a 101 as the final response if it names no upgrade.
 */
export function isFinalStatus(status: number): boolean {
  return (
    Number.isInteger(status) &&
    status >= MIN_FINAL_STATUS &&
    status <= MAX_STATUS
  );
}
