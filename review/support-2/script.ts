/** Runs one case, with the disruption or without it, and records the result. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import type {Fleet} from './fleet.js';
import {Recording, type Recorder} from './recorder.js';

/** What a case needs. */
export interface CaseContext {
  readonly record: Recorder;
  /** Registers the fleet, which is stopped at the end. */
  readonly use: (fleet: Fleet) => void;
}

/** Resolves to how often the rule was broken. */
export type Case = (context: CaseContext) => Promise<number>;

const BROKEN = 1;
const COULD_NOT_RUN = 2;
const MAX_RUN_MS = 115_000;

/** Runs a case and ends the process with its exit code. */
export async function runCase(hasTrouble: boolean, play: Case): Promise<void> {
  const folder = process.env.CASE_FOLDER ?? '.';
  const recording = new Recording(folder);
  const fleets: Fleet[] = [];
  const {add: record} = recording;
  record(`with the disruption: ${hasTrouble ? 'yes' : 'no'}`);
  const use = (fleet: Fleet) => void fleets.push(fleet);
  const timeout = new Promise<never>((_, reject) => {
    const late = () => reject(new Error('the case took too long'));
    setTimeout(late, MAX_RUN_MS).unref();
  });
  let code = COULD_NOT_RUN;
  try {
    const broken = await Promise.race([play({record, use}), timeout]);
    record(`the rule was broken ${broken} times`);
    code = broken > 0 ? BROKEN : 0;
  } catch (err) {
    record(`could not run: ${String(err)}`);
  }
  const {KEEP_LOG: logFile} = process.env;
  if (logFile) {
    writeFileSync(path.resolve(logFile), fleets.map(f => f.log).join('\n'));
  }
  await Promise.all(fleets.map(fleet => fleet.stop()));
  record(`exit code ${code}`);
  recording.write();
  process.exit(code);
}
