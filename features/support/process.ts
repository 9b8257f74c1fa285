/** One process of a test: started by us, watched, and ended by its id. */
import {spawn, type ChildProcess} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {createInterface} from 'node:readline';

/** Options of {@link TestProcess.start}. */
export interface ProcessOptions {
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  readonly nodeArgs?: readonly string[];
}

const READY_TIMEOUT_MS = 20_000;
const CLOCK_TICK_MS = 10;
/** As the kernel expects it in `clear_refs`. */
const RESET_PEAK = '5';

/** A process that printed its first line. */
export class TestProcess {
  readonly #child: ChildProcess;
  readonly firstLine: string;
  readonly errors: readonly string[];

  private constructor(
    child: ChildProcess,
    firstLine: string,
    errors: readonly string[],
  ) {
    this.#child = child;
    this.firstLine = firstLine;
    this.errors = errors;
  }

  /** Starts a script and waits for its first line of output. */
  static async start(options: ProcessOptions): Promise<TestProcess> {
    const {nodeArgs = [], script, args} = options;
    const child = spawn(process.execPath, [...nodeArgs, script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, NODE_OPTIONS: '', ...options.env},
    });
    const errors: string[] = [];
    createInterface({input: child.stderr}).on('line', l => errors.push(l));
    const firstLine = await new Promise<string>((resolve, reject) => {
      const fail = (reason: string) =>
        reject(new Error(`${options.script} ${reason}: ${errors.join('\n')}`));
      const timer = setTimeout(() => fail('not ready'), READY_TIMEOUT_MS);
      createInterface({input: child.stdout}).once('line', resolve);
      child.once('exit', code => fail(`ended with ${code}`));
      child.stdout.once('data', () => clearTimeout(timer));
    });
    return new TestProcess(child, firstLine, errors);
  }

  /** The process id. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Processor time used so far by all threads, in milliseconds. */
  get processorMs(): number {
    const text = readFileSync(`/proc/${this.#child.pid}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
  }

  /** Highest resident memory since the last reset of the peak, in megabytes. */
  get peakMemoryMb(): number {
    const text = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+) kB/.exec(text)?.[1]) / 1024;
  }

  /** Starts to measure the peak of memory anew. */
  resetPeakMemory(): void {
    writeFileSync(`/proc/${this.#child.pid}/clear_refs`, RESET_PEAK);
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Sends a signal and waits for the end; resolves to the exit code. */
  end(signal: NodeJS.Signals = 'SIGKILL'): Promise<number | null> {
    if (!this.running) return Promise.resolve(this.#child.exitCode);
    return new Promise(resolve => {
      this.#child.once('exit', code => resolve(code));
      this.#child.kill(signal);
    });
  }
}
