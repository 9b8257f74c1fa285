/** Type declarations for the parts of polka that are used here. */
declare module 'polka' {
  import type {IncomingMessage, Server, ServerResponse} from 'node:http';

  /** A request with the properties that polka adds. */
  export interface PolkaRequest extends IncomingMessage {
    readonly params: Readonly<Record<string, string>>;
    readonly query: Readonly<Record<string, string | undefined>>;
  }

  export type PolkaHandler = (
    req: PolkaRequest,
    res: ServerResponse,
  ) => unknown;

  export interface PolkaOptions {
    readonly server?: Server;
    readonly onNoMatch?: PolkaHandler;
  }

  export interface Polka {
    get(pattern: string, handler: PolkaHandler): this;
    put(pattern: string, handler: PolkaHandler): this;
    post(pattern: string, handler: PolkaHandler): this;
    delete(pattern: string, handler: PolkaHandler): this;
    readonly handler: (req: IncomingMessage, res: ServerResponse) => void;
  }

  // eslint-disable-next-line no-restricted-syntax -- polka has only a default
  export default function polka(options?: PolkaOptions): Polka;
}
