/** A body that tells when its last byte was handed on. */
import type {Observation} from '../health/health_view.js';
import type {RequestBody} from './body.js';

/** The same body; a whole one is counted as sent when the request starts. */
export function observedBody(
  body: RequestBody,
  observation: Observation,
): RequestBody {
  if (body.whole) return body;
  return {
    whole: false,
    get replayable() {
      return body.replayable;
    },
    open: () => flow(body, observation),
  };
}

async function* flow(
  body: RequestBody,
  observation: Observation,
): AsyncGenerator<Buffer> {
  yield* body.open() as AsyncIterable<Buffer>;
  observation.onSent();
}
