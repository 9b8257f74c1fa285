/**
 * Measures how long it takes to rank the members of a fleet for one name, as
 * a router does for each customer that is new to it. Prints JSON with a line
 * through the sizes.
 */
import {rankMembers} from '../src/member/rendezvous.js';
import {fitLine} from './lib/linear_fit.js';

const SIZES = [100, 400, 1600, 3200] as const;
const ROUNDS = 50;

function measure(size: number): number {
  const members = Array.from({length: size}, (_, i) => ({id: `vm-${i}`}));
  const startedAtMs = performance.now();
  Array.from({length: ROUNDS}, (_, i) => rankMembers(`customer-${i}`, members));
  return (performance.now() - startedAtMs) / ROUNDS;
}

SIZES.forEach(size => measure(size));
const results = SIZES.map(size => ({members: size, ms: measure(size)}));
const line = fitLine(results.map(({members, ms}) => ({x: members, y: ms})));
process.stdout.write(`${JSON.stringify({results, line})}\n`);
