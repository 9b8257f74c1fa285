/** Messages of generations and of the witnesses that vouch for them. */
import type {Exchange} from '../wire/messages.js';
import type {Generation} from './generation.js';

/** What a witness says. */
export interface WitnessReply {
  /** Its knowledge is complete up to the start of this generation. */
  readonly recovered: boolean;
  /** Its knowledge is complete for the generation that it names. */
  readonly ready: boolean;
  /** The highest generation that it knows; 0 for none. */
  readonly generation: number;
  /** The highest accepted revision that it knows. */
  readonly revision: number;
  /** How long ago a majority of the generation before took this one in. */
  readonly settledForMs?: number;
}

/** Kinds of messages of generations. */
export interface WitnessMessages {
  /** Asks a witness to vouch. */
  readonly 'witness.vouch': Exchange<
    Readonly<Record<string, never>>,
    WitnessReply
  >;
  /** Tells a witness of a newer generation, before its word. */
  readonly 'witness.generation': Exchange<
    {readonly generation: Generation},
    WitnessReply
  >;
  /** Tells a witness of a newer accepted revision, before its word. */
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
