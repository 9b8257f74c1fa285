/** A decision log that keeps nothing. */
import type {DecisionLog} from '../../src/log/decision_log.js';

const drop = () => undefined;

/** Drops every line. */
export const SILENT_LOG: DecisionLog = {
  step: drop,
  failure: drop,
  belief: drop,
};
