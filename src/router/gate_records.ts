/**
 * What a router knows about the gates of other VMs: the room (free slots minus
 * queued requests) that each gate reported with its last answer, and whether
 * it recently refused a request or didn't respond. After a connection to a
 * gate is lost, only requests that may safely run twice are sent to it while
 * there are other gates, until it answers again or its death is known to the
 * fleet.
 */

import {mayRunTwice, type Work} from '../gate/work.js';

/** A reported room is ignored after this time. */
const ROOM_FRESH_MS = 500;
const AVOID_BUSY_MS = 100;
const AVOID_SILENT_MS = 1000;
/** If the daemon died, the fleet has detected it within this time. */
const DOUBT_MS = 15_000;

interface GateRecord {
  readonly rooms: Map<string, {readonly room: number; readonly atMs: number}>;
  /** By service; monotonic clock, milliseconds. */
  readonly busyUntilMs: Map<string, number>;
  silentUntilMs: number;
  /**
   * Until then, or until its next answer, the gate is avoided for requests that
   * must not run twice.
   */
  doubtedUntilMs: number;
}

/** The gate records of one router, by member id. */
export class GateRecords {
  readonly #records = new Map<string, GateRecord>();

  /** Records free slots minus queued requests, as reported by the gate. */
  noteRoom(memberId: string, service: string, room: number): void {
    const atMs = performance.now();
    const record = this.#recordOf(memberId);
    record.rooms.set(service, {room, atMs});
    record.doubtedUntilMs = 0;
  }

  /** Records that the gate refused a request of a service. */
  noteBusy(memberId: string, service: string): void {
    const untilMs = performance.now() + AVOID_BUSY_MS;
    this.#recordOf(memberId).busyUntilMs.set(service, untilMs);
  }

  /** Records that the gate could not be reached, or is late with an answer. */
  noteSilent(memberId: string): void {
    const record = this.#recordOf(memberId);
    record.silentUntilMs = performance.now() + AVOID_SILENT_MS;
  }

  /** Records that the connection to the gate was lost during a request. */
  noteLost(memberId: string): void {
    this.noteSilent(memberId);
    const record = this.#recordOf(memberId);
    record.doubtedUntilMs = performance.now() + DOUBT_MS;
  }

  /** The last reported room, or undefined if the report is too old. */
  room(memberId: string, service: string): number | undefined {
    const told = this.#records.get(memberId)?.rooms.get(service);
    if (!told) return undefined;
    return performance.now() - told.atMs < ROOM_FRESH_MS
      ? told.room
      : undefined;
  }

  /** True if other gates should be preferred for this request. */
  isAvoided(memberId: string, work: Work): boolean {
    const record = this.#records.get(memberId);
    if (!record) return false;
    const nowMs = performance.now();
    const busyUntilMs = record.busyUntilMs.get(work.service) ?? 0;
    const isDoubted = nowMs < record.doubtedUntilMs && !mayRunTwice(work);
    return isDoubted || nowMs < record.silentUntilMs || nowMs < busyUntilMs;
  }

  #recordOf(memberId: string): GateRecord {
    const known = this.#records.get(memberId);
    if (known) return known;
    const record = {
      rooms: new Map(),
      busyUntilMs: new Map(),
      silentUntilMs: 0,
      doubtedUntilMs: 0,
    };
    this.#records.set(memberId, record);
    return record;
  }
}
