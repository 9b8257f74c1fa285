/** The command line: runs a command, prints failures, sets exit codes. */
import {binary, run, subcommands} from 'cmd-ts';
import {apply} from './commands/apply.js';
import {check} from './commands/check.js';
import {audit, drain, status} from './commands/fleet.js';
import {explain} from './commands/explain.js';
import {explainRoute} from './commands/explain_route.js';
import {key} from './commands/key.js';
import {customer, route, service} from './commands/records.js';
import {report} from './commands/report.js';
import {serve} from './commands/serve.js';
import {EXIT_CODES} from './errors/catalogue.js';
import {Failure, reasonOf, RemoteFailure} from './errors/failure.js';
import {serveMesh} from '../platform/serve_mesh.js';
import {VERSION} from './version.js';

const app = subcommands({
  name: 'chicorycourse',
  description: 'A proxy fleet for backend servers that fail grayly.',
  version: VERSION,
  cmds: {
    serve,
    'serve-mesh': serveMesh,
    check,
    apply,
    customer,
    route,
    service,
    key,
    status,
    audit,
    drain,
    report,
    explain,
    'explain-route': explainRoute,
  },
});

function printFailure(err: unknown): void {
  if (!(err instanceof Failure) && !(err instanceof RemoteFailure)) {
    process.stderr.write(`error: ${reasonOf(err)}\n`);
    process.exit(EXIT_CODES.internal);
  }
  process.stderr.write(`error: ${err.title}\n${err.message}\n`);
  process.stderr.write(`hint: ${err.hint}\n`);
  process.exit(err.exitCode);
}

run(binary(app), process.argv).catch(printFailure);
