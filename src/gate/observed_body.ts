/** Reports to the health observation when a body's last byte was passed on. */
import type {Observation} from '../health/view.js';
import type {RequestBody} from './body.js';

/** A buffered body is returned as is; it counts as sent when it starts. */
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
  observation.sent();
}
