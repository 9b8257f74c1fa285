/**
 * Client of the administration API for the commands. A request that changes
 * something carries a Change-Id, so that it may be sent again after a lost
 * answer: the fleet makes it at most once and answers by its first outcome.
 */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {failureNameOf} from '../admin/answers.js';
import {CATALOGUE, EXIT_CODES} from '../errors/catalogue.js';
import {Failure, reasonOf, RemoteFailure} from '../errors/failure.js';

/** Where the API is, and the credential for it. */
export interface AdministrationAddress {
  /** `IP:PORT`. */
  readonly admin: string;
  readonly tokenFile: string;
}

/** One call of the API. */
export interface AdministrationCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string | Buffer;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An answer that is no problem. */
export interface AdministrationAnswer {
  readonly status: number;
  readonly etag: string | undefined;
  readonly body: Readonly<Record<string, unknown>>;
}

interface Problem {
  readonly type?: string;
  readonly title?: string;
  readonly detail?: string;
  readonly hint?: string;
}

const MAX_TRIES = 4;
const PAUSE_MS = 500;
const TIMEOUT_MS = 180_000;

/** Calls the API of one daemon. */
export class AdministrationClient {
  readonly #admin: string;
  readonly #token: string;

  constructor({admin, tokenFile}: AdministrationAddress) {
    this.#admin = admin;
    this.#token = readToken(tokenFile);
  }

  /** Sends a call; throws the failure that a problem document names. */
  async call(call: AdministrationCall): Promise<AdministrationAnswer> {
    const isChange = call.method !== 'GET';
    const headers: Readonly<Record<string, string>> = isChange
      ? {'change-id': randomUUID(), ...call.headers}
      : {...call.headers};
    let tries = 1;
    while (tries < MAX_TRIES) {
      try {
        return await this.#send({...call, headers});
      } catch (err) {
        if (!mayRepeat(err)) throw err;
        await sleep(PAUSE_MS * tries);
        tries += 1;
      }
    }
    return this.#send({...call, headers});
  }

  /** Like `call`, but undefined if there is no such record. */
  async find(path: string): Promise<AdministrationAnswer | undefined> {
    try {
      return await this.call({method: 'GET', path});
    } catch (err) {
      const {title} = CATALOGUE.recordMissing;
      if (err instanceof RemoteFailure && err.title === title) return undefined;
      throw err;
    }
  }

  async #send(call: AdministrationCall): Promise<AdministrationAnswer> {
    const {method, path, body, headers} = call;
    const answer = await this.#exchange(method, path, body, headers);
    const value = parseBody(answer.text);
    if (answer.status >= 400) throw failureOf(answer.status, value);
    return {status: answer.status, etag: answer.etag, body: value};
  }

  async #exchange(
    method: AdministrationCall['method'],
    path: string,
    body: AdministrationCall['body'],
    headers: AdministrationCall['headers'],
  ) {
    try {
      const res = await request(`http://${this.#admin}${path}`, {
        method,
        body,
        headers: {authorization: `Bearer ${this.#token}`, ...headers},
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const etag = res.headers['etag'];
      const text = await res.body.text();
      return {status: res.statusCode, etag: etag && String(etag), text};
    } catch (err) {
      const reason = reasonOf(err);
      const address = this.#admin;
      throw new Failure('administrationUnreachable', {address, reason}, err);
    }
  }
}

/** Lost answers and a store that is away; a refusal stays one. */
function mayRepeat(err: unknown): boolean {
  const isExpected = err instanceof Failure || err instanceof RemoteFailure;
  return isExpected && err.exitCode === EXIT_CODES.unavailable;
}

function failureOf(status: number, problem: Problem): RemoteFailure {
  const name = failureNameOf(problem.type ?? '');
  return new RemoteFailure({
    title: problem.title ?? `The daemon answered with status ${status}`,
    detail: problem.detail ?? '',
    hint: problem.hint ?? 'See the log of the daemon.',
    exitCode: name ? CATALOGUE[name].exitCode : EXIT_CODES.internal,
  });
}

function parseBody(text: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    return {detail: text.slice(0, 200)};
  }
}

function readToken(file: string): string {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (err) {
    throw new Failure('usage', {reason: `--token-file: ${reasonOf(err)}`}, err);
  }
}
