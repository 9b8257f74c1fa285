/**
 * The typed messages between daemons. Each part owns the file with its own
 * kinds; this module puts them together. A kind has a request and a reply.
 */
import type {ConfigurationMessages} from '../configuration/messages.js';
import type {GateMessages} from '../gate/messages.js';
import type {HealthMessages} from '../health/messages.js';
import type {IdempotencyMessages} from '../idempotency/messages.js';
import type {ClockMessages} from '../member/clock_messages.js';
import type {MemberMessages} from '../member/messages.js';
import type {ReportMessages} from '../report/messages.js';
import type {WitnessMessages} from '../member/witness_messages.js';
import type {RateMessages} from '../rates/messages.js';

/** One kind of message: what is asked, and what is answered. */
export interface Exchange<Request, Reply> {
  readonly request: Request;
  readonly reply: Reply;
}

/** Every kind of message between daemons. */
export interface Messages
  extends
    ClockMessages,
    ConfigurationMessages,
    GateMessages,
    ReportMessages,
    HealthMessages,
    IdempotencyMessages,
    MemberMessages,
    RateMessages,
    WitnessMessages {}

/** The name of a kind of message. */
export type MessageKind = keyof Messages & string;

/** What is asked by a kind of message. */
export type RequestOf<Kind extends MessageKind> = Messages[Kind]['request'];

/** What is answered to a kind of message. */
export type ReplyOf<Kind extends MessageKind> = Messages[Kind]['reply'];
