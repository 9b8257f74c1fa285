/** `serve`: runs one daemon until it is told to stop. */
import {command, option, string} from 'cmd-ts';
import {Daemon} from '../daemon/daemon.js';
import {reasonOf} from '../errors/failure.js';
import {createLogger} from '../log/logger.js';
import {createMetrics} from '../metrics/metrics.js';
import {loadSettings} from '../settings/load.js';

/** The command itself. */
export const serve = command({
  name: 'serve',
  description: 'Run one daemon on this VM.',
  args: {
    settings: option({
      long: 'settings',
      type: string,
      description: 'The settings file (JSON).',
    }),
  },
  handler: async args => {
    const settings = loadSettings(args.settings);
    const log = createLogger(settings.log);
    const metrics = createMetrics(settings.statsd, settings.daemon.id);
    const daemon: Daemon = new Daemon({
      settings,
      log,
      metrics,
      onDrain: () => stop(),
    });
    const stop = makeStop(daemon, settings.limits.stopTimeoutMs, message =>
      log.warn(message),
    );
    const bound = await daemon.start();
    process.stdout.write(`${JSON.stringify({ready: true, ...bound})}\n`);
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
  },
});

/** The first call stops gracefully, the second one or the limit at once. */
function makeStop(
  daemon: Daemon,
  timeoutMs: number,
  warn: (message: string) => void,
): () => void {
  let stopping = false;
  const end = (code: number) => process.exit(code);
  return () => {
    if (stopping) return end(1);
    stopping = true;
    setTimeout(() => {
      warn('The stop took too long; open requests are cut.');
      end(1);
    }, timeoutMs).unref();
    daemon.stop().then(
      () => end(0),
      (err: unknown) => {
        warn(`The stop failed: ${reasonOf(err)}.`);
        end(1);
      },
    );
  };
}
