/** Steps for the memory of the whole process; all figures are simulated. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {MemoryBudget} from '../../src/mesh/limits/memory_budget.js';
import {
  ProcessMemory,
  type Collection,
  type MemoryFigures,
} from '../../src/mesh/limits/process_memory.js';

const MEGABYTE = 1024 * 1024;
const SMALL_BYTES = 10_000;
const LARGE_BYTES = 100_000;

/** A process whose figures the steps set. */
class SimulatedProcess {
  readonly memory: ProcessMemory;
  readonly collections: Collection[] = [];
  nowMs = 0;
  rssBytes: number;
  heapBytes = 20 * MEGABYTE;
  heldBytes = 0;
  garbageBytes = 0;
  freesGarbage = true;

  constructor(limitMb: number, restMb: number) {
    this.rssBytes = restMb * MEGABYTE;
    this.memory = new ProcessMemory({
      limitBytes: limitMb * MEGABYTE,
      heldBytes: () => this.heldBytes,
      measure: () => this.#figures(),
      collect: kind => this.#collect(kind),
      now: () => this.nowMs,
    });
    this.memory.check();
  }

  /** Asks for memory that is released again at once. */
  asks(megabytes: number): boolean {
    // A measurement of up to a second ago may be used.
    this.nowMs += 1000;
    return this.memory.hasRoom(megabytes * MEGABYTE);
  }

  #figures(): MemoryFigures {
    const external = this.heldBytes + this.garbageBytes;
    return {rss: this.rssBytes, heapTotal: this.heapBytes, external};
  }

  #collect(kind: Collection): void {
    this.collections.push(kind);
    if (!this.freesGarbage || kind === 'minor') return;
    this.rssBytes -= this.garbageBytes;
    this.garbageBytes = 0;
  }
}

interface ProcessState {
  process?: SimulatedProcess;
  budget?: MemoryBudget;
}

const states = new WeakMap<object, ProcessState>();

function processOf(world: object): SimulatedProcess {
  const process = states.get(world)?.process;
  assert.ok(process);
  return process;
}

Given(
  'a process with {int} MB of memory, of which {int} MB are in use at rest',
  function (limitMb: number, restMb: number) {
    states.set(this, {process: new SimulatedProcess(limitMb, restMb)});
  },
);

Given('its collections free nothing', function () {
  processOf(this).freesGarbage = false;
});

/** What takes memory, by kind; all but the buffers show in the resident size. */
const GROWTHS: Readonly<
  Record<string, (process: SimulatedProcess, bytes: number) => void>
> = {
  'the heap': (process, bytes) => {
    process.heapBytes += bytes;
    process.rssBytes += bytes;
  },
  'a set of buffers': (process, bytes) => {
    process.heldBytes += bytes;
    process.rssBytes += bytes;
  },
  'the resident size': (process, bytes) => {
    process.rssBytes += bytes;
  },
};

When(
  /^(the heap|a set of buffers|the resident size) takes (\d+) MB more$/,
  function (share: string, megabytes: string) {
    GROWTHS[share]?.(processOf(this), Number(megabytes) * MEGABYTE);
  },
);

When(
  'a set of buffers takes {int} MB more, of which none is written',
  function (megabytes: number) {
    processOf(this).heldBytes += megabytes * MEGABYTE;
  },
);

When('released buffers take {int} MB more', function (megabytes: number) {
  const process = processOf(this);
  process.garbageBytes += megabytes * MEGABYTE;
  process.rssBytes += megabytes * MEGABYTE;
});

When(
  '{int} MB more are asked for every {int} ms over {int} s',
  function (megabytes: number, everyMs: number, seconds: number) {
    const process = processOf(this);
    const endMs = process.nowMs + seconds * 1000;
    for (; process.nowMs < endMs; process.nowMs += everyMs) {
      process.memory.hasRoom(megabytes * MEGABYTE);
    }
  },
);

Then('{int} MB more are granted', function (megabytes: number) {
  assert.ok(processOf(this).asks(megabytes));
});

Then('{int} MB more are not', function (megabytes: number) {
  assert.ok(!processOf(this).asks(megabytes));
});

Then(
  '{int} MB more are granted after at most {int} tries',
  function (megabytes: number, maxTries: number) {
    const process = processOf(this);
    const tries = Array.from({length: maxTries}, () => process.asks(megabytes));
    assert.ok(tries.at(-1));
  },
);

Then('there were {int} major collections', function (count: number) {
  const {collections} = processOf(this);
  assert.equal(collections.filter(kind => kind === 'major').length, count);
});

Given(
  'a memory budget of {int} MB in a process without room',
  function (megabytes: number) {
    const options = {hasRoom: () => false};
    const budget = new MemoryBudget(megabytes * MEGABYTE, options);
    states.set(this, {budget});
  },
);

function budgetOf(world: object): MemoryBudget {
  const budget = states.get(world)?.budget;
  assert.ok(budget);
  return budget;
}

Then(
  'a large body, a body of a peer, a frame and a response of 100 KB get nothing',
  function () {
    const kinds = ['large-body', 'peer-body', 'frame', 'response'] as const;
    const budget = budgetOf(this);
    kinds.forEach(kind =>
      assert.equal(budget.reserve(LARGE_BYTES, kind), undefined, kind),
    );
  },
);

Then('a small body and a small response get their memory', function () {
  const kinds = ['small-body', 'small-response'] as const;
  const budget = budgetOf(this);
  kinds.forEach(kind => assert.ok(budget.reserve(SMALL_BYTES, kind), kind));
});

Then('a body that is in memory already is kept', function () {
  assert.ok(budgetOf(this).keep(LARGE_BYTES, 'kept-body'));
});
