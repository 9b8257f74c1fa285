/**
 * Fails if a name of the platform's interfaces stands outside platform/ and
 * deploy/: everything else uses the product's own words.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');

/** Folders whose code has to do without the names. */
const FOLDERS = ['src', 'bench', 'standins', 'features', 'limits', 'spec'];
/** Tests of the adapter itself speak what it translates. */
const ADAPTER_TESTS = /^(features|limits)\/([a-z]+\/)?platform_/;

const NAMES = [
  'x-attempt-id',
  'x-request-deadline',
  'x-credential',
  'x-tenant',
  'x-caller-service',
  'x-target-instance',
  'x-server-signature',
  'x-server-load',
  'x-not-executed',
  'x-instance-id',
  'server-limit',
  'server-leaving',
  'store-era',
  'kv-key',
  'kv-range',
  'kv-watch',
  'kv-txn',
  'kv-lease',
  'kv-keep',
  'op/config',
  'ResourceKind',
  'TargetLatencyMs',
  'TrafficSplit',
  'PathPrefix',
  'MaxAttempts',
  'ApiKeys',
  'RatePerS',
  'HealthPath',
  'WarmupLeftMs',
  'Instances.Heartbeat',
  'Instances.Deregister',
  'AllowStale',
  'WaitMs',
  'TtlMs',
];

const pattern = new RegExp(
  NAMES.map(name => `(?<![a-z])${name.replace(/[./]/g, '\\$&')}`).join('|'),
);
const isHeader = /(?<![a-z])x-[a-z-]+/i;

const files = execFileSync('git', ['ls-files', ...FOLDERS], {cwd: root})
  .toString()
  .split('\n')
  .filter(file => file !== '' && !ADAPTER_TESTS.test(file));

const faults = files.flatMap(file => {
  const lines = readFileSync(path.join(root, file), 'utf8').split('\n');
  return lines.flatMap((line, index) => {
    // Header names are the same in any case; other names are not.
    const text = isHeader.test(line) ? line.toLowerCase() : line;
    const found = pattern.exec(text) ?? pattern.exec(line);
    return found ? [`${file}:${index + 1}: ${found[0]}`] : [];
  });
});

faults.forEach(fault => console.log(fault));
process.exit(faults.length === 0 ? 0 : 1);
