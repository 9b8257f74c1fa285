/** A machine of the deployment: a daemon and the instance next to it. */
import {Daemon} from './daemon.js';
import {Instance, type InstanceOptions} from './instance.js';
import type {CaseContext} from './run_case.js';

export interface MachineOptions extends Pick<
  InstanceOptions,
  'service' | 'workMs' | 'spoil'
> {
  readonly id: string;
  /** Address of the store, or of a proxy before it. */
  readonly store: string;
}

export interface Machine {
  readonly id: string;
  readonly daemon: Daemon;
  readonly instance: Instance;
}

const ZONE = 'zone-a';

/** Starts both; they end with the case. */
export async function startMachine(
  {id, store, ...options}: MachineOptions,
  {record, folder, atEnd}: CaseContext,
): Promise<Machine> {
  const zone = ZONE;
  const instance = new Instance({...options, id: `i-${id}`, zone, record});
  const address = await instance.start();
  atEnd(() => instance.stop());
  const daemon = await Daemon.create({
    id,
    zone,
    service: options.service,
    instance: address,
    store,
    folder,
  });
  atEnd(() => daemon.end('SIGKILL'));
  await daemon.start();
  instance.announceTo(daemon.control);
  return {id, daemon, instance};
}
