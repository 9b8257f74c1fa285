/** A rate token that becomes void once its request may no longer run. */
import type {RateToken} from '../rates/limiter.js';

/** Wraps a token; `mayRun` is checked again before the request starts. */
export class GuardedToken implements RateToken {
  readonly #token: RateToken;
  readonly #mayRun: () => boolean;

  constructor(token: RateToken, mayRun: () => boolean) {
    this.#token = token;
    this.#mayRun = mayRun;
  }

  get expiresAtMs(): number {
    return this.#token.expiresAtMs;
  }

  spend(): boolean {
    return this.#mayRun() && this.#token.spend();
  }

  release(): void {
    this.#token.release();
  }

  delegate(): boolean {
    return this.#mayRun() && this.#token.delegate();
  }

  reclaim(): void {
    this.#token.reclaim();
  }

  confirm(): void {
    this.#token.confirm();
  }
}
