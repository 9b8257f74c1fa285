/** Raw sockets, for requests that HTTP libraries refuse to send. */
import {connect} from 'node:net';

/** Bytes written in a feature file with escapes for control characters. */
export function unescapeBytes(text: string): string {
  return text
    .replaceAll('\\r', '\r')
    .replaceAll('\\n', '\n')
    .replaceAll('\\t', '\t')
    .replaceAll('\\u0000', '\u0000');
}

/**
 * Sends bytes; resolves to the text received until `isWhole` accepts it, the
 * connection ends, or the time-out passes.
 */
export function sendRawBytes(
  address: string,
  bytes: string,
  isComplete: (text: string) => boolean,
  timeoutMs = 5000,
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
  });
}
