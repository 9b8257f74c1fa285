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

  giveBack(): void {
    this.#token.giveBack();
  }

  handOver(): boolean {
    return this.#mayRun() && this.#token.handOver();
  }

  takeBack(): void {
    this.#token.takeBack();
  }

  confirm(): void {
    this.#token.confirm();
  }
}
