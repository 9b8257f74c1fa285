/**
 * The stand-in for the platform's store in a process of its own. Prints its
 * address, with version 1 of the configuration written.
 */
import {documentOf} from './platform_documents.js';
import {PlatformStore} from './platform_store.js';

const store = new PlatformStore();
store.writeConfiguration(documentOf('00000001'));
process.stdout.write(`${await store.start()}\n`);
