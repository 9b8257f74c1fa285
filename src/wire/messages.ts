/**
 * The types of all messages between daemons. Each part of the daemon declares
 * its message kinds in a file of its own, and this module combines them.
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

/** One kind of message: a request and its reply. */
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

/** The request of a kind of message. */
export type RequestOf<Kind extends MessageKind> = Messages[Kind]['request'];

/** The reply of a kind of message. */
export type ReplyOf<Kind extends MessageKind> = Messages[Kind]['reply'];
