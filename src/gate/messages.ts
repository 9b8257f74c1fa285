/** Messages of the gate: routers on other VMs reserve slots. */
import type {Exchange} from '../wire/messages.js';
import type {NotRun} from './work.js';

/** Either a reservation or the reason why there is none. */
export type ReserveReply =
  {readonly reservation: string} | {readonly refusal: NotRun};

/** Kinds of messages of the gate. */
export interface GateMessages {
  /** Waits for a slot and keeps it for a request with a large body. */
  readonly 'gate.reserve': Exchange<
    {
      readonly service: string;
      readonly customer?: string;
      /** Time left until the request's deadline, in milliseconds. */
      readonly leftMs: number;
    },
    ReserveReply
  >;
}
