/**
 * A process of a mesh soak beside the daemons: it runs the store, or a part of
 * the instances, or a part of the callers. Commands and replies are messages.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {documentOfRoutes} from '../../features/support/platform_documents.js';
import {PlatformInstance} from '../../features/support/platform_instance.js';
import {PlatformStore} from '../../features/support/platform_store.js';
import {SteadyCallers, type Answer} from './callers.js';
import {
  addressOf,
  documentOptionsOf,
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
      readonly options: FleetOptions;
    }
  | {readonly kind: 'keepCopy'}
  | {readonly kind: 'restoreCopy'}
  | ({readonly kind: 'instances'} & Part)
  | ({readonly kind: 'callers'} & Part)
  | {readonly kind: 'stopInstances'; readonly share: number}
  | {readonly kind: 'replaceInstances'; readonly successors: readonly SoakVm[]}
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

/** How long the address of an instance that is gone isn't used. */
const ADDRESS_REUSE_MS = 2000;

/** All daemons watch; a shorter delay would take the store's processor time. */
const WATCH_DELAY_MS = 100;

const store = new PlatformStore({watchDelayMs: WATCH_DELAY_MS});
let instanceOptions: FleetOptions | undefined;
/** By the index of the VM. */
const instances = new Map<number, PlatformInstance>();
let callers: readonly SteadyCallers[] = [];

async function startInstance(
  vm: SoakVm,
  {slots, workMs}: FleetOptions,
): Promise<void> {
  const instance = new PlatformInstance({
    id: `instance-of-${vm.id}`,
    service: vm.service,
    address: addressOf(vm, 'backend'),
    announcements: addressOf(vm, 'announcements'),
    slots,
    workMs,
  });
  instances.set(vm.index, instance);
  await instance.start();
}

const HANDLERS: Handlers = {
  store: async () => ({address: await store.start()}),
  configure: ({version, options}) => {
    const documentOptions = documentOptionsOf(options);
    const document = documentOfRoutes(version, ROUTES, documentOptions);
    store.writeConfiguration(document);
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
  instances: async ({vms, options}) => {
    instanceOptions = options;
    await Promise.all(vms.map(vm => startInstance(vm, options)));
    return {};
  },
  stopInstances: ({share}) => {
    [...instances.values()]
      .slice(0, Math.ceil(instances.size * share))
      .forEach(instance => instance.stop());
    return {};
  },
  replaceInstances: async ({successors}) => {
    const own = successors.filter(({index}) => instances.has(index));
    own.forEach(({index}) => instances.get(index)?.stop());
    await sleep(ADDRESS_REUSE_MS);
    const options = instanceOptions;
    if (!options) return {};
    await Promise.all(own.map(vm => startInstance(vm, options)));
    return {};
  },
  callers: ({vms, options}) => {
    const uploadBytes = Buffer.alloc(options.maxUploadBytes, 'x');
    callers = vms.map(vm => new SteadyCallers(vm, options, uploadBytes));
    return {};
  },
  answers: async () => {
    await Promise.all(callers.map(caller => caller.stop()));
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
