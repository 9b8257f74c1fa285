/**
 * Text logs, printed through consola. Each part of the daemon receives a logger
 * with its own fixed prefix; there is no global logger. With the format `json`,
 * each line is one JSON object.
 */
import {createConsola, type ConsolaReporter} from 'consola';

/** A logger as the parts of a daemon use it. */
export interface Logger {
  debug(message: string): void;
  info(message: string): void;
  warn(message: string): void;
  error(message: string): void;
  /** Creates a logger with the prefix of the given part. */
  for(part: string): Logger;
}

/** Options of {@link createLogger}. */
export interface LogOptions {
  readonly level: 'silent' | 'error' | 'warn' | 'info' | 'debug';
  readonly format: 'text' | 'json';
}

const LEVELS: Readonly<Record<LogOptions['level'], number>> = {
  silent: -1,
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

const jsonReporter: ConsolaReporter = {
  log: entry => {
    const line = {
      time: entry.date.toISOString(),
      level: entry.type,
      part: entry.tag,
      message: entry.args.map(String).join(' '),
    };
    process.stderr.write(`${JSON.stringify(line)}\n`);
  },
};

const textReporter: ConsolaReporter = {
  log: entry => {
    const time = entry.date.toISOString();
    const text = entry.args.map(String).join(' ');
    process.stderr.write(`${time} ${entry.type} ${entry.tag}: ${text}\n`);
  },
};

const REPORTERS: Readonly<Record<LogOptions['format'], ConsolaReporter>> = {
  text: textReporter,
  json: jsonReporter,
};

/** Creates the logger of a process; `for` derives the loggers of parts. */
export function createLogger(options: LogOptions, part = 'daemon'): Logger {
  const consola = createConsola({
    level: LEVELS[options.level],
    reporters: [REPORTERS[options.format]],
    throttle: 0,
  });
  return wrap(consola.withTag(part), options);
}

function wrap(
  consola: ReturnType<typeof createConsola>,
  options: LogOptions,
): Logger {
  return {
    debug: message => consola.debug(message),
    info: message => consola.info(message),
    warn: message => consola.warn(message),
    error: message => consola.error(message),
    for: part => createLogger(options, part),
  };
}
