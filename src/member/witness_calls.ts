/**
 * Calls witnesses and determines whether a majority agrees. A witness is
 * identified by id and address: the same id elsewhere is another daemon.
 */
import type {MessageKind, ReplyOf, RequestOf} from '../wire/messages.js';
import {
  isSameDaemon,
  majorityOf,
  type DaemonIdentity,
  type GenerationMember,
} from './generation.js';
import type {Links} from './links.js';

/** Kinds of calls to witnesses. */
export type WitnessKind = Extract<MessageKind, `witness.${string}`>;

/** Answers a call as this daemon's own witness, without a link. */
export type AnswerAsWitness = <Kind extends WitnessKind>(
  kind: Kind,
  body: RequestOf<Kind>,
) => ReplyOf<Kind>;

/** Options of {@link WitnessCalls}. */
export interface WitnessCallsOptions {
  readonly links: Links;
  readonly self: DaemonIdentity;
}

/** A reply and the witness that sent it. */
export interface WitnessAnswer<Kind extends WitnessKind> {
  readonly witness: GenerationMember;
  /** When the call was sent; monotonic clock, milliseconds. */
  readonly sentAtMs: number;
  readonly reply: ReplyOf<Kind>;
}

/** Replies that arrive later than this are ignored. */
export const WITNESS_CALL_TIMEOUT_MS = 900;

/** Calls witnesses over links, and this daemon's own witness directly. */
export class WitnessCalls {
  readonly #options: WitnessCallsOptions;
  #answerAsOwn: AnswerAsWitness | undefined;

  constructor(options: WitnessCallsOptions) {
    this.#options = options;
  }

  /** Registers this daemon's own witness. */
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
   * Calls all witnesses at once. Resolves to the replies that satisfy `agrees`
   * as soon as they are a majority, or to `undefined` if they never are.
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
        // After a pause, a late reply may be handled before its timeout fires.
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
