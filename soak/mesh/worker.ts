/**
 * A process of a mesh soak beside the daemons: it runs the store, or a part of
 * the instances, or a part of the callers. Commands and replies are messages.
 */
import {documentOfRoutes} from '../../features/support/platform_documents.js';
import {PlatformInstance} from '../../features/support/platform_instance.js';
import {PlatformStore} from '../../features/support/platform_store.js';
import {SteadyCallers, type Answer} from './callers.js';
import {
  addressOf,
  ROUTES,
  type FleetOptions,
  type SoakVm,
} from './fleet_plan.js';

/** The VMs whose instances or callers a worker runs. */
interface Part {
  readonly vms: readonly SoakVm[];
  readonly options: FleetOptions;
}

/** What a worker is asked to do. */
export type Command =
  | {readonly kind: 'store'}
  | {
      readonly kind: 'configure';
      readonly version: string;
    }
  | {readonly kind: 'keepCopy'}
  | {readonly kind: 'restoreCopy'}
  | ({readonly kind: 'instances'} & Part)
  | ({readonly kind: 'callers'} & Part)
  | {readonly kind: 'stopInstances'; readonly share: number}
  | {readonly kind: 'answers'};

/** A worker's reply to each command. */
export interface Reply {
  readonly address?: string;
  readonly answers?: readonly Answer[];
}

type Handlers = {
  readonly [Kind in Command['kind']]: (
    command: Extract<Command, {readonly kind: Kind}>,
  ) => Reply | Promise<Reply>;
};

const store = new PlatformStore();
let instances: readonly PlatformInstance[] = [];
let callers: readonly SteadyCallers[] = [];

const HANDLERS: Handlers = {
  store: async () => ({address: await store.start()}),
  configure: ({version}) => {
    store.writeConfiguration(documentOfRoutes(version, ROUTES));
    return {};
  },
  keepCopy: () => {
    store.keepCopy();
    return {};
  },
  restoreCopy: () => {
    store.restoreCopy();
    return {};
  },
  instances: async ({vms, options: {slots, workMs}}) => {
    instances = vms.map(
      vm =>
        new PlatformInstance({
          id: `instance-${vm.index}`,
          service: vm.service,
          address: addressOf(vm, 'backend'),
          announcements: addressOf(vm, 'announcements'),
          slots,
          workMs,
        }),
    );
    await Promise.all(instances.map(instance => instance.start()));
    return {};
  },
  stopInstances: ({share}) => {
    instances
      .slice(0, Math.ceil(instances.length * share))
      .forEach(instance => instance.stop());
    return {};
  },
  callers: ({vms, options: {requestsPerS}}) => {
    callers = vms.map(vm => new SteadyCallers(vm, requestsPerS));
    return {};
  },
  answers: () => {
    callers.forEach(caller => caller.stop());
    return {answers: callers.flatMap(({answers}) => answers)};
  },
};

process.on('message', (command: Command) => {
  const handle = HANDLERS[command.kind] as (
    command: Command,
  ) => Reply | Promise<Reply>;
  void Promise.resolve(handle(command)).then(reply => process.send?.(reply));
});
process.on('disconnect', () => process.exit(0));
