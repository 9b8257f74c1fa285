/** Raw sockets, for requests that HTTP libraries refuse to send. */
import {connect} from 'node:net';

/**
 * Bytes written in a feature file with escapes for control characters; a number
 * of bytes, such as `(20 bytes)`, stands for as many letters.
 */
export function unescapeBytes(text: string): string {
  return text
    .replaceAll('\\r', '\r')
    .replaceAll('\\n', '\n')
    .replaceAll('\\t', '\t')
    .replaceAll('\\u0000', '\u0000')
    .replaceAll(/\((\d+) bytes\)/g, (_, count) => 'x'.repeat(Number(count)));
}

/** Options of {@link sendRawBytes}. */
export interface RawOptions {
  readonly timeoutMs?: number;
  /** Bytes that are sent in a packet of their own, after the others. */
  readonly laterBytes?: string;
}

/** Time in which the server reads the first packet. */
const PACKET_GAP_MS = 50;

/**
 * Sends bytes; resolves to the text received until `isComplete` accepts it, the
 * connection ends, or the time-out passes.
 */
export function sendRawBytes(
  address: string,
  bytes: string,
  isComplete: (text: string) => boolean,
  {timeoutMs = 5000, laterBytes}: RawOptions = {},
): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect(Number(port), host);
    let text = '';
    const end = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve(text);
    };
    const timer = setTimeout(end, timeoutMs);
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      if (isComplete(text)) end();
    });
    socket.on('error', end);
    socket.on('close', end);
    socket.write(bytes, 'latin1');
    if (laterBytes === undefined) return;
    setTimeout(() => socket.write(laterBytes, 'latin1'), PACKET_GAP_MS);
  });
}
