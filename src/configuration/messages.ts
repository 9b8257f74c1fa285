/** Messages by which daemons pass the configuration on to each other. */
import type {Exchange} from '../wire/messages.js';
import type {Change} from './changes.js';

/** What a daemon that is behind gets; empty fields if it isn't behind. */
export interface Comparison {
  readonly revision: number;
  /** The changes that lead there, if this daemon still has them all. */
  readonly changes?: readonly Change[];
  /** Else the stamp of each shard, to fetch those that differ. */
  readonly stamps?: readonly string[];
}

/** Kinds of messages of the configuration. */
export interface ConfigurationMessages {
  /** Tells the own revision, and learns what is missing from it. */
  readonly 'configuration.compare': Exchange<
    {readonly revision: number; readonly address: string},
    Comparison
  >;
  /** The JSON text of one shard; undefined once it was replaced. */
  readonly 'configuration.shard': Exchange<
    {readonly index: number; readonly stamp: string},
    {readonly text?: string}
  >;
}
