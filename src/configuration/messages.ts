/** Messages by which daemons exchange the configuration. */
import type {Exchange} from '../wire/messages.js';
import type {Change} from './changes.js';

/** The reply to a comparison; only the revision if the caller isn't behind. */
export interface Comparison {
  readonly revision: number;
  /** The changes up to it, if the replying daemon still has all of them. */
  readonly changes?: readonly Change[];
  /** Otherwise the stamp of each shard, to fetch those that differ. */
  readonly stamps?: readonly string[];
}

/** Message kinds of the configuration. */
export interface ConfigurationMessages {
  /** Sends the caller's revision; the reply holds what it is missing. */
  readonly 'configuration.compare': Exchange<
    {readonly revision: number; readonly address: string},
    Comparison
  >;
  /** Fetches the JSON text of a shard; undefined once it was replaced. */
  readonly 'configuration.shard': Exchange<
    {readonly index: number; readonly stamp: string},
    {readonly text?: string}
  >;
}
