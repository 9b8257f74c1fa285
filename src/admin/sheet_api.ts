/**
 * The sheet over HTTP: `PUT /v1/sheet` with the CSV as the body. With
 * `?dryRun=true` it only answers with the plan; `?allowRemovals=true`
 * confirms large removals; `If-Match: "REVISION"` makes it refuse if
 * anything has changed since that revision.
 */
import type {ServerResponse} from 'node:http';
import type {PolkaRequest} from 'polka';
import type {ChangeAcceptor} from '../configuration/change_acceptor.js';
import type {LocalConfiguration} from '../configuration/local_configuration.js';
import type {ConfigurationRecord} from '../configuration/records.js';
import {parseSheet} from '../configuration/sheet.js';
import {
  checkRemovals,
  planSheet,
  sheetEdit,
  SHEET_ACTION,
  type SheetPlan,
} from '../configuration/sheet_plan.js';
import type {ConfigurationState, Edit} from '../configuration/state.js';
import {Failure} from '../errors/failure.js';
import {readBytes, sendJson} from './answers.js';
import {identify, sendAccepted} from './changes.js';
import type {Credential} from './credentials.js';

/** Options of {@link SheetApi}. */
export interface SheetApiOptions {
  readonly keeper: LocalConfiguration;
  readonly acceptance: ChangeAcceptor;
}

const MAX_SHEET_BYTES = 64 * 1024 * 1024;
const MAX_NAMED = 100;

/** The handler of sheets. */
export class SheetApi {
  readonly #options: SheetApiOptions;

  constructor(options: SheetApiOptions) {
    this.#options = options;
  }

  async put(
    req: PolkaRequest,
    res: ServerResponse,
    {name}: Credential,
  ): Promise<void> {
    const bytes = await readBytes(req, MAX_SHEET_BYTES);
    const records = await parseSheet(bytes);
    if (req.query['dryRun'] === 'true') return this.#dryRun(req, res, records);
    const identity = identify(req, bytes);
    let plan: SheetPlan | undefined;
    const accepted = await this.#options.acceptance.accept({
      ...identity,
      by: name,
      action: SHEET_ACTION,
      edit: state => {
        const edit = decide(req, state, records);
        plan = planSheet(state, edit);
        return edit;
      },
      retryOnConflict: false,
    });
    sendAccepted(res, identity, accepted, {plan: plan && shorten(plan)});
  }

  #dryRun(
    req: PolkaRequest,
    res: ServerResponse,
    records: readonly ConfigurationRecord[],
  ): void {
    const state = this.#options.keeper.state();
    const plan = planSheet(state, sheetEdit(state, records));
    decide(req, state, records);
    sendJson(res, 200, {dryRun: true, plan: shorten(plan)});
  }
}

function decide(
  req: PolkaRequest,
  state: ConfigurationState,
  records: readonly ConfigurationRecord[],
): Edit {
  const expected = req.headers['if-match'];
  if (expected !== undefined && expected !== `"${state.revision}"`) {
    const reason = `the revision is ${state.revision}, not ${expected}`;
    throw new Failure('preconditionFailed', {record: 'sheet', reason});
  }
  const edit = sheetEdit(state, records);
  if (req.query['allowRemovals'] !== 'true') checkRemovals(state, edit);
  return edit;
}

/** Counts, and the first records of each list. */
function shorten(plan: SheetPlan) {
  const listOf = (keys: readonly string[]) => {
    return {count: keys.length, records: keys.slice(0, MAX_NAMED)};
  };
  return {
    revision: plan.revision,
    created: listOf(plan.created),
    changed: listOf(plan.changed),
    removed: listOf(plan.removed),
    overwritten: plan.overwritten.slice(0, MAX_NAMED),
  };
}
