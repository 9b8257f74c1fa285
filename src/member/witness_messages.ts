/** Messages about generations and to the witnesses that vouch for them. */
import type {Exchange} from '../wire/messages.js';
import type {Generation} from './generation.js';

/** The reply of a witness. */
export interface WitnessReply {
  /** True if it knows all that was recorded before this generation began. */
  readonly recovered: boolean;
  /** True if it knows all that was recorded for `generation` as well. */
  readonly ready: boolean;
  /** The highest generation that it knows; 0 if none. */
  readonly generation: number;
  /** The highest accepted revision that it knows. */
  readonly revision: number;
  /** Time since a majority of the previous witnesses recorded `generation`. */
  readonly settledForMs?: number;
}

/** Message kinds for generations and witnesses. */
export interface WitnessMessages {
  /** Asks a witness to vouch. */
  readonly 'witness.vouch': Exchange<
    Readonly<Record<string, never>>,
    WitnessReply
  >;
  /** Sends a newer generation, which the witness records before it replies. */
  readonly 'witness.generation': Exchange<
    {readonly generation: Generation},
    WitnessReply
  >;
  /** Sends a newer accepted revision, recorded before the reply. */
  readonly 'witness.revision': Exchange<
    {readonly generation: number; readonly revision: number},
    WitnessReply
  >;
  /** Asks any daemon for the newest generation that it knows. */
  readonly 'generation.read': Exchange<
    Readonly<Record<string, never>>,
    {readonly generation?: Generation}
  >;
}
