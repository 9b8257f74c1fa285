/** A client on a machine: one request, one new connection. */
import {request} from 'node:http';
import type {Record} from './record.js';

export interface ClientRequest {
  /** Address for callers of the daemon on the client's machine. */
  readonly to: string;
  readonly id: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly key: string;
  readonly deadlineMs: number;
  readonly body?: Buffer;
}

/** Sends a request; resolves to the status, or 0 without an answer. */
export function sendRequest(
  sent: ClientRequest,
  record: Record,
): Promise<number> {
  const {to, id, method, path, key, deadlineMs, body} = sent;
  const [host, port] = to.split(':');
  const headers = {
    host: 'app.example',
    'x-attempt-id': id,
    'x-request-deadline': String(deadlineMs),
    'x-credential': key,
    ...(body ? {'content-length': body.length} : {}),
  };
  record.add(`sent     ${id} ${method} ${path} key=${key} to=${to}`);
  return new Promise(resolve => {
    const end = (status: number, what: string) => {
      clearTimeout(timer);
      record.add(`answered ${id} ${what}`);
      resolve(status);
    };
    const options = {host, port, method, path, headers, agent: false};
    const req = request(options, res => {
      res.resume();
      res.on('error', () => undefined);
      res.on('close', () => {
        const status = res.complete ? (res.statusCode ?? 0) : 0;
        end(status, `${status}`);
      });
    });
    req.on('error', err => end(0, `no answer: ${err.message}`));
    const timer = setTimeout(() => req.destroy(), deadlineMs);
    req.end(body);
  });
}
