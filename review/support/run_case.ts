/** Runs a case: exit code 0 if the rule held, 1 if it broke, 2 otherwise. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Record} from './record.js';

export interface CaseContext {
  readonly record: Record;
  /** Temporary folder, removed at the end. */
  readonly folder: string;
  /** False: the same without the disruption. */
  readonly hasTrouble: boolean;
  /** Calls `stop` at the end, the last one added first. */
  readonly atEnd: (stop: () => void | Promise<void>) => void;
}

/** What was seen against the rule; empty if it held. */
export type Breaches = readonly string[];

const MAX_RUN_MS = 115_000;
const BROKEN = 1;
const NOT_RUN = 2;

export async function runCase(
  play: (context: CaseContext) => Promise<Breaches>,
  hasTrouble: boolean,
): Promise<void> {
  const recordFile = process.argv[2] ?? 'record.txt';
  const record = new Record(recordFile);
  const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  const stops: (() => void | Promise<void>)[] = [];
  const context: CaseContext = {
    record,
    folder,
    hasTrouble,
    atEnd: stop => stops.unshift(stop),
  };
  let exitCode = NOT_RUN;
  const timeout = new Promise<never>((_, reject) => {
    setTimeout(() => reject(new Error('timeout')), MAX_RUN_MS).unref();
  });
  try {
    record.add(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
    const breaches = await Promise.race([play(context), timeout]);
    breaches.forEach(breach => record.add(`BROKEN   ${breach}`));
    exitCode = breaches.length > 0 ? BROKEN : 0;
    record.add(exitCode === 0 ? 'the rule held' : 'the rule was broken');
  } catch (err) {
    record.add(`could not run: ${String(err)}`);
  }
  for (const stop of stops) await stop();
  record.save();
  if (process.env.KEEP !== '1') rmSync(folder, {recursive: true, force: true});
  else process.stdout.write(`${folder}\n`);
  process.exit(exitCode);
}
