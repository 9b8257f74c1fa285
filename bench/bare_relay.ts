/**
 * The least that a relay can do: node:http in front, undici behind, no
 * decisions. Its added latency is the share of the libraries and the kernel.
 *
 * Arguments: TARGET (IP:PORT). Prints `listening PORT`.
 */
import {createServer} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {Pool} from 'undici';

const CONNECTIONS = 64;
const pool = new Pool(`http://${process.argv[2]}`, {connections: CONNECTIONS});

const server = createServer((req, res) => {
  pool
    .request({
      method: 'GET',
      path: req.url ?? '/',
      headers: {host: req.headers.host ?? ''},
    })
    .then(async answer => {
      res.writeHead(answer.statusCode, answer.headers);
      await pipeline(answer.body, res);
    })
    .catch(() => res.destroy());
});
server.listen(0, '127.0.0.1', () => {
  const address = server.address();
  const port = typeof address === 'object' ? address?.port : 0;
  process.stdout.write(`listening ${port}\n`);
});
process.on('SIGTERM', () => process.exit(0));
