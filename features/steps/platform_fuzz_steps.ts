/** Steps that decode documents in which one value was changed. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {decodeConfiguration} from '../../platform/configuration_document.js';
import {decodeHeartbeat} from '../../platform/heartbeat_server.js';
import {reasonOf} from '../../src/errors/failure.js';
import {documentOf, HEARTBEAT} from '../support/platform_documents.js';
import type {World} from '../support/world.js';

const SEED = 20_261;
/** The longest delay that a timer accepts. */
const MAX_TIMER_MS = 2 ** 31 - 1;
/** Names of fields that hold timer delays. */
const DURATION_FIELD = /(timeout|objective)Ms$/i;

interface FuzzWorld extends World {
  outcomes?: readonly Outcome[];
}

/** Result of one case. */
interface Outcome {
  readonly text: string;
  readonly decoded?: unknown;
  readonly reason?: string;
}

type Decode = (text: string) => unknown;

/** Generates variants of `text` with one value replaced or removed. */
function withChangedValue(text: string): fc.Arbitrary<string> {
  const places = pathsOf(JSON.parse(text));
  const values = fc.oneof(
    fc.jsonValue(),
    fc.constantFrom(-1, 0, 1e-9, 0.5, 2 ** 31, 2 ** 53, 1e300, '', null),
  );
  return fc.tuple(fc.constantFrom(...places), values).map(([place, value]) => {
    const document = JSON.parse(text) as unknown;
    place.reduce((at, step, index) => {
      const node = at as Record<string, unknown>;
      if (index === place.length - 1) node[step] = value;
      return node[step];
    }, document);
    return JSON.stringify(document);
  });
}

/** Returns the path of each nested value. */
function pathsOf(value: unknown): readonly (readonly string[])[] {
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([step, inner]) => [
    [step],
    ...pathsOf(inner).map(path => [step, ...path]),
  ]);
}

function outcomesOf(
  text: string,
  count: number,
  decode: Decode,
): readonly Outcome[] {
  const cases = fc.sample(withChangedValue(text), {seed: SEED, numRuns: count});
  return cases.map(text => {
    try {
      return {text, decoded: decode(text)};
    } catch (err) {
      return {text, reason: reasonOf(err)};
    }
  });
}

When(
  '{int} configuration documents with a value changed are decoded',
  function (this: FuzzWorld, count: number) {
    const text = documentOf('0000000c');
    this.outcomes = outcomesOf(text, count, decodeConfiguration);
  },
);

When(
  '{int} heartbeats with a value changed are decoded',
  function (this: FuzzWorld, count: number) {
    const decode: Decode = text => decodeHeartbeat('i-1', text);
    this.outcomes = outcomesOf(HEARTBEAT, count, decode);
  },
);

/** Paths of numbers out of range for timers, limits and comparisons. */
function outOfRangePaths(value: unknown, path = ''): readonly string[] {
  if (typeof value === 'number') {
    const most = DURATION_FIELD.test(path)
      ? MAX_TIMER_MS
      : Number.MAX_SAFE_INTEGER;
    const isInRange = Number.isFinite(value) && Math.abs(value) <= most;
    return isInRange ? [] : [`${path}=${value}`];
  }
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([step, inner]) =>
    outOfRangePaths(inner, `${path}.${step}`),
  );
}

Then(
  'each is decoded into values in range, or rejected with a reason',
  function (this: FuzzWorld) {
    const outcomes = this.outcomes ?? [];
    const faults = outcomes.flatMap(({decoded, reason, text}) => {
      if (decoded === undefined) return reason ? [] : [`no reason: ${text}`];
      return outOfRangePaths(decoded);
    });
    assert.deepEqual([...new Set(faults)], []);
    assert.ok(outcomes.some(({decoded}) => decoded !== undefined));
    assert.ok(outcomes.some(({reason}) => reason !== undefined));
  },
);
