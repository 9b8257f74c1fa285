/** What a process has used so far, as the kernel counts it. */
import {readFileSync} from 'node:fs';

/** Counters of one process. */
export interface Usage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Bytes read and written, sockets among them. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

const TICK_MS = 10;
const PAGE_BYTES = 4096;
/** Fields of /proc/PID/stat behind the name, counted from the state. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** The counters of a process. */
export function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const statm = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const field = (name: string) =>
    Number(new RegExp(`^${name}: (\\d+)`, 'm').exec(io)?.[1] ?? 0);
  return {
    cpuMs: ticks * TICK_MS,
    residentBytes: Number(statm[1]) * PAGE_BYTES,
    readBytes: field('rchar'),
    writtenBytes: field('wchar'),
  };
}
