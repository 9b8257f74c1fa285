/** W3C trace context: passed on if valid, otherwise a new trace is started. */
import {randomBytes} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

const TRACEPARENT =
  /^00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}$/;

/** The trace fields to send: names and values alternate. */
export function createTraceHeaders(req: IncomingMessage): readonly string[] {
  const parent = req.headers['traceparent'];
  if (typeof parent !== 'string' || !TRACEPARENT.test(parent)) {
    return ['traceparent', createTraceparent()];
  }
  const state = req.headers['tracestate'];
  const kept = ['traceparent', parent];
  return typeof state === 'string' ? [...kept, 'tracestate', state] : kept;
}

function createTraceparent(): string {
  const bytes = randomBytes(24).toString('hex');
  return `00-${bytes.slice(0, 32)}-${bytes.slice(32)}-01`;
}
