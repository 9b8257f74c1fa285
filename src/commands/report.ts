/** `report`: what the fleet counted, merged over all members. */
import {readFileSync, writeFileSync} from 'node:fs';
import {command, option, optional, string, subcommands} from 'cmd-ts';
import {collectReport} from '../report/collect.js';
import {reportHtml} from '../report/html.js';
import {reportText} from '../report/text.js';
import {administrationOptions, jsonFlag} from './options.js';

const burn = command({
  name: 'burn',
  description: 'Show how services spend their error budgets, and who spent it.',
  args: {
    ...administrationOptions,
    html: option({
      long: 'html',
      type: optional(string),
      description: 'Also write the report to this file, as one page.',
    }),
    json: jsonFlag,
  },
  handler: async ({admin, tokenFile, html, json}) => {
    const token = readFileSync(tokenFile, 'utf8').trim();
    const report = await collectReport({admin, token});
    if (html !== undefined) writeFileSync(html, reportHtml(report));
    const text = json ? `${JSON.stringify(report)}\n` : reportText(report);
    process.stdout.write(text);
  },
});

/** The command itself. */
export const report = subcommands({
  name: 'report',
  description: 'Reports on the fleet.',
  cmds: {burn},
});
