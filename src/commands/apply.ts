/** `apply`: brings the configuration to what a sheet says. */
import {readFileSync} from 'node:fs';
import {command, flag, option, optional, positional, string} from 'cmd-ts';
import {Failure, reasonOf} from '../errors/failure.js';
import {AdministrationClient} from './administration_client.js';
import {administrationOptions, jsonFlag} from './options.js';
import {print, printJson} from './output.js';
import {printAccepted} from './records.js';

interface ShownList {
  readonly count: number;
  readonly records: readonly string[];
}

interface ShownPlan {
  readonly revision: number;
  readonly created: ShownList;
  readonly changed: ShownList;
  readonly removed: ShownList;
  readonly overwritten: readonly {
    readonly record: string;
    readonly by: string;
    readonly revision: number;
  }[];
}

/** The command itself. */
export const apply = command({
  name: 'apply',
  description: 'Apply a sheet, whole or not at all.',
  args: {
    sheet: positional({type: string, displayName: 'SHEET'}),
    dryRun: flag({long: 'dry-run', description: 'Only show the plan.'}),
    allowRemovals: flag({
      long: 'allow-removals',
      description: 'Confirm that the sheet removes many records.',
    }),
    revision: option({
      long: 'revision',
      type: optional(string),
      description: 'Refuse unless this revision, as of a plan, still holds.',
    }),
    ...administrationOptions,
    json: jsonFlag,
  },
  handler: async args => {
    const {dryRun, allowRemovals, revision} = args;
    const {body} = await new AdministrationClient(args).call({
      method: 'PUT',
      path: `/v1/sheet?dryRun=${dryRun}&allowRemovals=${allowRemovals}`,
      body: readSheet(args.sheet),
      headers: revision ? {'if-match': `"${revision}"`} : {},
    });
    if (args.json) return printJson(body);
    if (body['plan']) printPlan(body['plan'] as ShownPlan);
    if (!dryRun) printAccepted(body);
  },
});

function readSheet(file: string): Buffer {
  try {
    return readFileSync(file);
  } catch (err) {
    throw new Failure('usage', {reason: reasonOf(err)}, err);
  }
}

function printPlan(plan: ShownPlan): void {
  const lists = [
    ['create', plan.created],
    ['change', plan.changed],
    ['remove', plan.removed],
  ] as const;
  lists.forEach(([verb, {count, records}]) => {
    print(`${verb}: ${count}`);
    records.forEach(record => print(`  ${record}`));
    if (count > records.length) print(`  and ${count - records.length} more`);
  });
  plan.overwritten.forEach(({record, by, revision}) =>
    print(`overwrites what ${by} changed in revision ${revision}: ${record}`),
  );
}
