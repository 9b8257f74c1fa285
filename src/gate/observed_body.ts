/** Reports to the health observation when a body's last byte was passed on. */
import type {Observation} from '../health/health_view.js';
import type {RequestBody} from './body.js';

/** A buffered body is returned as is; it counts as sent when it starts. */
export function observeBody(
  body: RequestBody,
  observation: Observation,
): RequestBody {
  if (body.isBuffered) return body;
  return {
    isBuffered: false,
    get isReplayable() {
      return body.isReplayable;
    },
    open: () => stream(body, observation),
  };
}

async function* stream(
  body: RequestBody,
  observation: Observation,
): AsyncGenerator<Buffer> {
  yield* body.open() as AsyncIterable<Buffer>;
  observation.onSent();
}
