/** `report`: what the fleet counted, merged over all members. */
import {readFileSync, writeFileSync} from 'node:fs';
import {command, flag, option, optional, string, subcommands} from 'cmd-ts';
import {collectReport} from '../report/collect.js';
import {reportHtml} from '../report/html.js';
import {reportText} from '../report/text.js';

const burn = command({
  name: 'burn',
  description: 'Show how services spend their error budgets, and who spent it.',
  args: {
    admin: option({
      long: 'admin',
      type: string,
      env: 'CHICORYCOURSE_ADMIN',
      description: 'IP:PORT of the administration port of any daemon.',
    }),
    tokenFile: option({
      long: 'token-file',
      type: string,
      env: 'CHICORYCOURSE_TOKEN_FILE',
      description: 'File with the bearer token of a credential.',
    }),
    html: option({
      long: 'html',
      type: optional(string),
      description: 'Also write the report to this file, as one page.',
    }),
    json: flag({
      long: 'json',
      description: 'Print JSON instead of text.',
    }),
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
