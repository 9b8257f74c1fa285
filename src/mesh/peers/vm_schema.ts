/** Schema of a VM as the list of daemons and the hello of a peer name it. */
import {isIPv4} from 'node:net';
import * as z from 'zod';
import {parseAddress} from '../../settings/address.js';

const MAX_PORT = 65_535;

/** `IP:PORT` that a connection can be opened to. */
const peerAddress = z
  .string()
  .regex(/^[\d.]+:\d{1,5}$/, 'IP:PORT expected')
  .refine(isConnectable, 'an IPv4 address and a port from 1 expected');

/** Validates a VM that was received from outside this process. */
export const vmSchema = z.object({
  id: z.string().min(1),
  address: peerAddress,
  failureDomain: z.string(),
});

function isConnectable(text: string): boolean {
  const {host, port} = parseAddress(text);
  return isIPv4(host) && port >= 1 && port <= MAX_PORT;
}
