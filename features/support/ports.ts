/**
 * Ports for test processes that are restarted at the same addresses. They lie
 * below the range from which the system assigns ports to other sockets, so that
 * none is taken while its process is down.
 */
import {once} from 'node:events';
import {existsSync, readFileSync} from 'node:fs';
import {createServer} from 'node:net';

const RANGE_FILE = '/proc/sys/net/ipv4/ip_local_port_range';
/** On systems without that file, the lowest one in use. */
const FIRST_ASSIGNED_PORT = 32_768;
const FIRST_PORT = 10_000;
/** Each worker of a parallel run has a part of the ports. */
const MAX_WORKERS = 8;

const portsPerWorker = Math.floor(
  (firstAssignedPort() - FIRST_PORT) / MAX_WORKERS,
);
const worker = Number(process.env.CUCUMBER_WORKER_ID ?? 0) % MAX_WORKERS;
/** Runs on the same machine start at different ports. */
let next = process.pid % portsPerWorker;

/** The first port that the system may assign to any socket. */
export function firstAssignedPort(): number {
  if (!existsSync(RANGE_FILE)) return FIRST_ASSIGNED_PORT;
  return Number(readFileSync(RANGE_FILE, 'utf8').trim().split(/\s+/)[0]);
}

/** Returns an address on loopback whose port nothing listens on. */
export async function freeAddress(): Promise<string> {
  const port = FIRST_PORT + worker * portsPerWorker + next;
  next = (next + 1) % portsPerWorker;
  const isFree = await canListen(port);
  return isFree ? `127.0.0.1:${port}` : freeAddress();
}

async function canListen(port: number): Promise<boolean> {
  const server = createServer();
  const listening = once(server, 'listening');
  server.listen(port, '127.0.0.1');
  try {
    await listening;
    return true;
  } catch {
    // The port is taken; the caller tries the next one.
    return false;
  } finally {
    server.close();
  }
}
