/** Steps for the program of the platform and how it starts. */
import assert from 'node:assert/strict';
import {execFileSync, spawnSync} from 'node:child_process';
import {Then, When, type DataTable} from '@cucumber/cucumber';

interface StartState {
  /** Bytes in the program by package. */
  packages?: Readonly<Record<string, number>>;
  exitCode?: number | null;
  output?: string;
}

const states = new WeakMap<object, StartState>();
const BYTES_PER_KB = 1000;

When(
  'the packages in the program of the platform are listed',
  {timeout: 30_000},
  function () {
    const args = ['scripts/build.mjs', '--platform', '--list'];
    const env = {...process.env, NODE_OPTIONS: ''};
    const list = execFileSync(process.execPath, args, {env});
    states.set(this, {packages: JSON.parse(list.toString())});
  },
);

Then(
  'these are the packages, with at most so many kilobytes:',
  function (table: DataTable) {
    const limits = new Map(table.raw().map(([name, kB]) => [name, Number(kB)]));
    const packages = Object.entries(states.get(this)?.packages ?? {}).filter(
      ([name]) => name !== '(own code)',
    );
    assert.deepEqual(
      packages.map(([name]) => name).sort(),
      [...limits.keys()].sort(),
    );
    const tooLarge = packages.filter(
      ([name, bytes]) => bytes > (limits.get(name) ?? 0) * BYTES_PER_KB,
    );
    assert.deepEqual(tooLarge, []);
  },
);

When(
  /^the program of a mesh daemon is started with (.*)$/,
  {timeout: 30_000},
  function (text: string) {
    const args = text === 'nothing' ? [] : text.split(' ');
    const {status, stdout, stderr} = spawnSync(
      process.execPath,
      ['--import', 'tsx', 'platform/main.ts', ...args],
      {env: {...process.env, NODE_OPTIONS: ''}},
    );
    states.set(this, {exitCode: status, output: `${stdout}${stderr}`});
  },
);

Then(
  /^it ends with exit code (\d+) and prints (.*)$/,
  function (code: string, text: string) {
    const {exitCode, output = ''} = states.get(this) ?? {};
    assert.equal(exitCode, Number(code));
    assert.ok(output.includes(text), output);
  },
);
