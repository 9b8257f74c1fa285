/**
 * The part of prom-client that the platform's build uses: without the metrics
 * of the process that it collects by itself, and without clusters.
 */
exports.Counter = require('prom-client/lib/counter');
exports.Gauge = require('prom-client/lib/gauge');
exports.Histogram = require('prom-client/lib/histogram');
exports.Registry = require('prom-client/lib/registry');
