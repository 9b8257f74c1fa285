/**
 * Runs every check in turn: format, lint, types, names, build, specifications
 * and features. Prints what failed, passes over the scenarios that
 * KNOWN-RED.txt lists, and ends with one line of counts.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync, rmSync} from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const results = path.join(root, 'dist', 'results');
const bin = name => path.join(root, 'node_modules', '.bin', name);

/** Steps with one verdict each. */
const STEPS = [
  ['format', bin('prettier'), ['--check', '--log-level', 'warn', '.']],
  ['lint', bin('eslint'), ['.']],
  ['types', bin('tsc'), ['--noEmit']],
  ['names', process.execPath, ['scripts/check_names.mjs']],
  ['build', process.execPath, ['scripts/build.mjs', '--binary', '--mutants']],
  ['binary', path.join(root, 'dist', 'chicorycourse'), ['--version']],
];

/**
 * Cucumber profiles; each scenario has its own verdict. Scenarios of `limits`
 * measure a process, so they run last, one at a time.
 */
const PROFILES = ['spec', 'features', 'limits'];

const knownRed = existsSync(path.join(root, 'KNOWN-RED.txt'))
  ? readFileSync(path.join(root, 'KNOWN-RED.txt'), 'utf8')
      .split('\n')
      .filter(line => line.includes('|') && !line.startsWith('#'))
      .map(line => line.split('|')[0].trim())
  : [];

function runStep([name, file, args]) {
  const startedAt = Date.now();
  const {status} = spawnSync(file, args, {cwd: root, stdio: 'inherit'});
  const seconds = ((Date.now() - startedAt) / 1000).toFixed(1);
  console.log(`${status === 0 ? 'ok' : 'FAILED'} ${name} (${seconds} s)`);
  return [{name, passed: status === 0}];
}

function scenariosOf(file) {
  if (!existsSync(file)) return [];
  return JSON.parse(readFileSync(file, 'utf8')).flatMap(feature =>
    feature.elements.map(element => ({
      name: `${feature.name}: ${element.name}`,
      passed: element.steps.every(step => step.result.status === 'passed'),
    })),
  );
}

function runProfile(profile) {
  const file = path.join(results, `${profile}.json`);
  const {status} = spawnSync(
    bin('cucumber-js'),
    [profile, '--profile', profile, '--format', `json:${file}`],
    {
      cwd: root,
      stdio: 'inherit',
      env: {...process.env, NODE_OPTIONS: '--import tsx'},
    },
  );
  const scenarios = scenariosOf(file);
  const ended = {name: `${profile} ended`, passed: status !== null};
  const complete = status === 0 || scenarios.some(s => !s.passed);
  return [...scenarios, {...ended, passed: ended.passed && complete}];
}

rmSync(results, {recursive: true, force: true});
mkdirSync(results, {recursive: true});
const verdicts = [...STEPS.flatMap(runStep), ...PROFILES.flatMap(runProfile)];
const red = verdicts.filter(verdict => !verdict.passed);
const known = red.filter(verdict => knownRed.includes(verdict.name));
const failed = red.filter(verdict => !knownRed.includes(verdict.name));
known.forEach(({name}) => console.log(`known red: ${name}`));
failed.forEach(({name}) => console.log(`failed: ${name}`));
const passed = verdicts.length - red.length;
console.log(`${passed} passed, ${failed.length} failed`);
process.exit(failed.length === 0 ? 0 : 1);
