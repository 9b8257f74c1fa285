/**
 * What a router knows of the gates of others: the room that each told with
 * its last answer, and whether it refused or was silent just now. Only what may
 * run twice tries a gate again whose connection was lost.
 */

import {mayRunTwice, type Work} from '../gate/work.js';

/** Room that was told longer ago isn't believed any more. */
const ROOM_FRESH_MS = 500;
const AVOID_BUSY_MS = 100;
const AVOID_SILENT_MS = 1000;
/** The fleet has learnt of a death by then. */
const DOUBT_MS = 15_000;

interface GateRecord {
  readonly rooms: Map<string, {readonly room: number; readonly atMs: number}>;
  /** By service, until when it counts as busy. */
  readonly busyUntilMs: Map<string, number>;
  silentUntilMs: number;
  /** Until then nothing that may run once goes there, unless it answers. */
  doubtedUntilMs: number;
}

/** The records of one router. */
export class GateRecords {
  readonly #records = new Map<string, GateRecord>();

  /** Free slots minus waiting work, as the gate told. */
  noteRoom(memberId: string, service: string, room: number): void {
    const atMs = performance.now();
    const record = this.#recordOf(memberId);
    record.rooms.set(service, {room, atMs});
    record.doubtedUntilMs = 0;
  }

  /** The gate refused work of a service. */
  noteBusy(memberId: string, service: string): void {
    const untilMs = performance.now() + AVOID_BUSY_MS;
    this.#recordOf(memberId).busyUntilMs.set(service, untilMs);
  }

  /** The gate could not be reached, or let a request wait without a word. */
  noteSilent(memberId: string): void {
    const record = this.#recordOf(memberId);
    record.silentUntilMs = performance.now() + AVOID_SILENT_MS;
  }

  /** The connection to the gate ended under a request. */
  noteLost(memberId: string): void {
    this.noteSilent(memberId);
    const record = this.#recordOf(memberId);
    record.doubtedUntilMs = performance.now() + DOUBT_MS;
  }

  /** The room last told, or undefined if that is too long ago. */
  room(memberId: string, service: string): number | undefined {
    const told = this.#records.get(memberId)?.rooms.get(service);
    if (!told) return undefined;
    return performance.now() - told.atMs < ROOM_FRESH_MS
      ? told.room
      : undefined;
  }

  /** True while the gate should be left out if there are others. */
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
