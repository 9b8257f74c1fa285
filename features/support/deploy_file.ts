/** The platform's deploy file, so that tests start daemons as it does. */
import {readFileSync} from 'node:fs';

const RUN_LINE = /^run = "node (.*) target\/daemon\.cjs /m;

/** The options of Node.js with which the platform runs a daemon. */
export function daemonNodeArgs(): readonly string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const [, options] = RUN_LINE.exec(text) ?? [];
  if (options === undefined) throw new Error('no run line in the deploy file');
  return options.split(' ');
}
