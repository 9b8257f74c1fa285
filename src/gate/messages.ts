/** Messages between gates and routers on other VMs, which reserve slots. */
import type {Exchange} from '../wire/messages.js';
import type {NotRun} from './work.js';

/** A reservation, or the reason why no slot was reserved. */
export type ReserveReply =
  {readonly reservation: string} | {readonly refusal: NotRun};

/** Message kinds of the gate. */
export interface GateMessages {
  /** Waits for a slot and reserves it for a request with a large body. */
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
