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
const ROOM_VALID_MS = 500;
const AVOID_BUSY_MS = 100;
const AVOID_UNRESPONSIVE_MS = 1000;
/** If the daemon died, the fleet has detected it within this time. */
const SUSPECT_MS = 15_000;

interface GateRecord {
  readonly rooms: Map<string, {readonly room: number; readonly atMs: number}>;
  /** By service; monotonic clock, milliseconds. */
  readonly busyUntilMs: Map<string, number>;
  avoidedUntilMs: number;
  /**
   * Until then, or until its next answer, the gate is avoided for requests that
   * must not run twice.
   */
  suspectUntilMs: number;
}

/** The gate records of one router, by member id. */
export class GateRecords {
  readonly #records = new Map<string, GateRecord>();

  /** Records free slots minus queued requests, as reported by the gate. */
  recordRoom(memberId: string, service: string, room: number): void {
    const atMs = performance.now();
    const record = this.#getOrCreateRecord(memberId);
    record.rooms.set(service, {room, atMs});
    record.suspectUntilMs = 0;
  }

  /** Records that the gate refused a request of a service. */
  recordBusy(memberId: string, service: string): void {
    const untilMs = performance.now() + AVOID_BUSY_MS;
    this.#getOrCreateRecord(memberId).busyUntilMs.set(service, untilMs);
  }

  /** Records that the gate could not be reached, or is late with an answer. */
  recordUnresponsive(memberId: string): void {
    const record = this.#getOrCreateRecord(memberId);
    record.avoidedUntilMs = performance.now() + AVOID_UNRESPONSIVE_MS;
  }

  /** Records that the connection to the gate was lost during a request. */
  recordConnectionLost(memberId: string): void {
    this.recordUnresponsive(memberId);
    const record = this.#getOrCreateRecord(memberId);
    record.suspectUntilMs = performance.now() + SUSPECT_MS;
  }

  /** The last reported room, or undefined if the report is too old. */
  room(memberId: string, service: string): number | undefined {
    const reported = this.#records.get(memberId)?.rooms.get(service);
    if (!reported) return undefined;
    return performance.now() - reported.atMs < ROOM_VALID_MS
      ? reported.room
      : undefined;
  }

  /** True if other gates should be preferred for this request. */
  isAvoided(memberId: string, work: Work): boolean {
    const record = this.#records.get(memberId);
    if (!record) return false;
    const nowMs = performance.now();
    const busyUntilMs = record.busyUntilMs.get(work.service) ?? 0;
    const isSuspect = nowMs < record.suspectUntilMs && !mayRunTwice(work);
    return isSuspect || nowMs < record.avoidedUntilMs || nowMs < busyUntilMs;
  }

  #getOrCreateRecord(memberId: string): GateRecord {
    const known = this.#records.get(memberId);
    if (known) return known;
    const record = {
      rooms: new Map(),
      busyUntilMs: new Map(),
      avoidedUntilMs: 0,
      suspectUntilMs: 0,
    };
    this.#records.set(memberId, record);
    return record;
  }
}
