/**
 * Calls to witnesses, and when a majority of them agrees. A witness is an id
 * at an address: a process of the same id elsewhere is another daemon.
 */
import type {MessageKind, ReplyOf, RequestOf} from '../wire/messages.js';
import {
  isSameDaemon,
  majorityOf,
  type DaemonIdentity,
  type GenerationMember,
} from './generation.js';
import type {Links} from './links.js';

/** Kinds of calls that a witness answers with its reply. */
export type WitnessKind = Extract<MessageKind, `witness.${string}`>;

/** How this daemon's own witness answers, without a link. */
export type AnswerAsWitness = <Kind extends WitnessKind>(
  kind: Kind,
  body: RequestOf<Kind>,
) => ReplyOf<Kind>;

/** Options of {@link WitnessCalls}. */
export interface WitnessCallsOptions {
  readonly links: Links;
  readonly self: DaemonIdentity;
}

/** One answer and the witness that gave it. */
export interface WitnessAnswer<Kind extends WitnessKind> {
  readonly witness: GenerationMember;
  /** When the call was sent; monotonic clock, milliseconds. */
  readonly sentAtMs: number;
  readonly reply: ReplyOf<Kind>;
}

/** An answer that comes later than this counts for nothing. */
export const WITNESS_CALL_TIMEOUT_MS = 900;

/** Calls witnesses over links, and the own one directly. */
export class WitnessCalls {
  readonly #options: WitnessCallsOptions;
  #answerAsOwn: AnswerAsWitness | undefined;

  constructor(options: WitnessCallsOptions) {
    this.#options = options;
  }

  /** Sets how this daemon's own witness answers. */
  setOwnWitness(answerAsOwn: AnswerAsWitness): void {
    this.#answerAsOwn = answerAsOwn;
  }

  /** Calls one witness; throws `peerUnreachable`. */
  async call<Kind extends WitnessKind>(
    witness: GenerationMember,
    kind: Kind,
    body: RequestOf<Kind>,
  ): Promise<WitnessAnswer<Kind>> {
    const sentAtMs = performance.now();
    if (this.isSelf(witness) && this.#answerAsOwn) {
      return {witness, sentAtMs, reply: this.#answerAsOwn(kind, body)};
    }
    const {peersAddress} = witness;
    const {links} = this.#options;
    const reply = await links.call(
      peersAddress,
      kind,
      body,
      WITNESS_CALL_TIMEOUT_MS,
    );
    return {witness, sentAtMs, reply};
  }

  /** True if a member of a generation is this daemon. */
  isSelf(member: GenerationMember): boolean {
    const {self} = this.#options;
    return isSameDaemon(member, self);
  }

  /**
   * Calls all witnesses at once; resolves to the answers that `agrees` holds
   * for as soon as they are a majority, else to `undefined`.
   */
  askMajority<Kind extends WitnessKind>(
    witnesses: readonly GenerationMember[],
    kind: Kind,
    body: RequestOf<Kind>,
    agrees: (reply: ReplyOf<Kind>) => boolean,
  ): Promise<readonly ReplyOf<Kind>[] | undefined> {
    const needed = majorityOf(witnesses.length);
    const replies: ReplyOf<Kind>[] = [];
    return new Promise(resolve => {
      if (needed === 0) resolve([]);
      const callOne = async (witness: GenerationMember) => {
        const answer = await this.call(witness, kind, body);
        // A process that was paused may find a late answer before its timer.
        const tookMs = performance.now() - answer.sentAtMs;
        if (tookMs > WITNESS_CALL_TIMEOUT_MS) return;
        if (agrees(answer.reply)) replies.push(answer.reply);
        if (replies.length === needed) resolve([...replies]);
      };
      void Promise.allSettled(witnesses.map(callOne)).then(() =>
        resolve(undefined),
      );
    });
  }
}
