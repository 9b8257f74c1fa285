/** Plain sockets for callers that no HTTP library would play. */
import {connect} from 'node:net';

/** Sends bytes; resolves to what came until the end, or until `isWhole`. */
export function sendBytes(
  address: string,
  bytes: string,
  isWhole: (text: string) => boolean,
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
      if (isWhole(text)) end();
    });
    socket.on('error', end);
    socket.on('close', end);
    socket.write(bytes, 'latin1');
  });
}
