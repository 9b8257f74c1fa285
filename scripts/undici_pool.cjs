/** The part of undici that the platform's build uses. */
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');
const request = require('undici/lib/api/api-request.js');

Object.assign(Dispatcher.prototype, {request});
exports.Pool = Pool;
