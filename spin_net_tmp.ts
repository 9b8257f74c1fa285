// Trial: one mesh daemon, odd instances, callers and peers; looks for processor time that goes on after each stimulus.
import {spawn} from 'node:child_process';
import {createServer, connect, type Socket} from 'node:net';
import {readFileSync, writeFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {PlatformStore} from '/work/main/features/support/platform_store.ts';
import {documentOf} from '/work/main/features/support/platform_documents.ts';
const bundle = process.argv[2]!;
const store = new PlatformStore(); const storeAddr = await store.start();
store.write({Key: 'op/config', Value: Buffer.from(documentOf('00000001')).toString('base64')});
const ip = '127.0.0.31', base = 24000;
let behave = 'ok';
const flood = (c: Socket, chunk: string) => { const f = () => { if (!c.destroyed) c.write(chunk, () => setImmediate(f)); }; f(); };
const idOf = (t: string) => /x-attempt-id: (\S+)/i.exec(t)?.[1] ?? '';
const head = (t: string, extra: string) => `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${idOf(t)}\r\nX-Server-Signature: s\r\n${extra}\r\n`;
const B: Record<string, (c: Socket, t: string) => void> = {
  ok: (c, t) => c.end(head(t, 'Content-Length: 2\r\n') + 'ok'),
  surplus: (c, t) => { c.write(head(t, 'Content-Length: 2\r\n') + 'ok'); flood(c, 'x'.repeat(65536)); },
  surplusEnd: (c, t) => { c.write(head(t, 'Content-Length: 2\r\n') + 'ok' + 'y'.repeat(1e6)); setTimeout(() => c.resetAndDestroy(), 50); },
  hang: () => undefined,
  hangThenFin: c => setTimeout(() => c.end(), 300),
  halfHeadFin: (c, t) => c.end('HTTP/1.1 200 OK\r\nX-Att'),
  headNoEnd: c => { c.write('HTTP/1.1 200 OK\r\n'); flood(c, `x-more: ${'x'.repeat(1000)}\r\n`); },
  unframedReset: (c, t) => { c.write(head(t, 'Connection: close\r\n') + 'half'); setImmediate(() => c.resetAndDestroy()); },
  unframedHang: (c, t) => { c.write(head(t, 'Connection: close\r\n') + 'half'); },
  chunkHang: (c, t) => { c.write(head(t, 'Transfer-Encoding: chunked\r\n') + '5\r\nhello\r\n'); },
  chunkFin: (c, t) => { c.end(head(t, 'Transfer-Encoding: chunked\r\n') + '5\r\nhello\r\n'); },
  tinyChunks: (c, t) => { c.write(head(t, 'Transfer-Encoding: chunked\r\n')); flood(c, '1\r\nx\r\n'); },
  notHttp: c => c.end('\u0000\u0001'),
  interim: c => flood(c, 'HTTP/1.1 102 Processing\r\n\r\n'),
  upgrade: (c, t) => c.write('HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n'),
  refused: c => c.destroy(),
};
const backend = createServer({allowHalfOpen: true}, c => { c.on('error', () => c.destroy()); let got = ''; c.once('data', d => { got += d; B[behave]!(c, got); }); });
await new Promise<void>(r => backend.listen(base + 5, ip, () => r()));
const cfg = '/work/scratch/spin/net.json';
writeFileSync(cfg, JSON.stringify({vm: {id: 'vm-0', failureDomain: 'a'}, listen: {callers: `${ip}:${base}`, readiness: `${ip}:${base + 1}`, announcements: `${ip}:${base + 2}`, peers: `${ip}:${base + 3}`, metrics: `${ip}:${base + 4}`}, backend: {address: `${ip}:${base + 5}`, service: 'pay'}, store: {address: storeAddr}, isFirstStart: false, stopTimeoutS: 6, repeats: {ratio: 0.2, windowS: 10, slack: 60}}));
const p = spawn(process.execPath, ['--max-old-space-size=158', bundle, '--settings', cfg], {stdio: ['ignore', 'ignore', 'inherit']});
p.on('exit', (c, s) => console.log('EXIT', c, s));
await sleep(1000);
let seq = 1;
const raw = (port: number, text: string | Buffer, how = 'wait') => { const c = connect({port, host: ip, allowHalfOpen: how === 'half'}); c.on('error', () => c.destroy()); c.resume(); c.write(text); if (how === 'fin') c.end(); if (how === 'reset') setTimeout(() => c.resetAndDestroy(), 20); if (how === 'noread') c.pause(); return c; };
const beat = () => { const b = JSON.stringify({Service: 'pay', State: 'ready', Concurrency: 3, Sequence: seq++, born: 1000}); raw(base + 2, `POST /Instances.Heartbeat/i-0 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${b.length}\r\n\r\n${b}`, 'fin'); };
setInterval(beat, 1000); beat();
const post = (path = '/unsafe/x', more = '', body = 'x') => `POST ${path} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: ${Math.random()}\r\nX-Request-Deadline: 800\r\nX-Credential: key-1\r\n${more}Content-Length: ${body.length}\r\n\r\n${body}`;
const cpu = () => { const f = readFileSync(`/proc/${p.pid}/stat`, 'utf8').split(') ')[1]!.split(' '); return (Number(f[11]) + Number(f[12])) * 10; };
async function probe(name: string, act: () => Socket[]) {
  const socks: Socket[] = []; const c0 = cpu();
  for (let i = 0; i < 10; i++) { socks.push(...act()); await sleep(100); }
  const c1 = cpu(); await sleep(1500); const c2 = cpu(); await sleep(1500); const c3 = cpu();
  console.log(name.padEnd(28), 'during', ((c1 - c0) / 1000).toFixed(2), 'after', ((c2 - c1) / 1500).toFixed(2), 'later', ((c3 - c2) / 1500).toFixed(2), (c3 - c2) > 750 ? 'SPIN' : '');
  socks.forEach(s => s.destroy()); await sleep(300);
}
for (const b of Object.keys(B)) { behave = b; await probe('instance ' + b, () => [raw(base, post()), raw(base, post('/safe/x'))]); }
behave = 'ok';
const ways: Record<string, () => Socket[]> = {
  'caller fin before body': () => [raw(base, post('/unsafe/x', '', 'x'.repeat(1000)).slice(0, -500), 'fin')],
  'caller reset': () => [raw(base, post(), 'reset')],
  'caller half head': () => [raw(base, 'POST /unsafe/x HTTP/1.1\r\nHo')],
  'caller half head fin': () => [raw(base, 'POST /unsafe/x HTTP/1.1\r\nHo', 'fin')],
  'caller half open': () => [raw(base, post(), 'half')],
  'caller pipelined no read': () => [raw(base, post().repeat(300), 'noread')],
  'caller pipelined fin': () => [raw(base, post().repeat(100), 'fin')],
  'caller garbage': () => [raw(base, Buffer.alloc(100000, 7))],
  'caller expect': () => [raw(base, post('/unsafe/x', 'Expect: 100-continue\r\n'))],
  'caller chunks no end': () => [raw(base, `POST /unsafe/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: a\r\nX-Credential: key-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`)],
  'caller too large': () => [raw(base, post('/unsafe/x', '', 'x'.repeat(2_000_000)))],
  'caller upgrade': () => [raw(base, `GET /safe/x HTTP/1.1\r\nHost: app.example\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n`)],
  'caller connect': () => [raw(base, `CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n`)],
  'peers plain http': () => [raw(base + 3, `GET / HTTP/1.1\r\nHost: a\r\n\r\n`)],
  'peers garbage': () => [raw(base + 3, Buffer.alloc(100000, 7))],
  'peers upgrade then garbage': () => [raw(base + 3, `GET /frames/3 HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n${'\u0007'.repeat(1000)}`)],
  'control garbage': () => [raw(base + 2, Buffer.alloc(1000, 7)), raw(base + 2, 'POST /Instances.Heartbeat/%zz HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}'), raw(base + 2, 'POST /Instances.Deregister/%E0%A4%A HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n')],
  'control half body': () => [raw(base + 2, 'POST /Instances.Heartbeat/i-0 HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n{"Ser', 'reset')],
  'readiness garbage': () => [raw(base + 1, Buffer.alloc(1000, 7)), raw(base + 4, 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n', 'noread')],
};
for (const [n, w] of Object.entries(ways)) await probe(n, w);
p.kill('SIGTERM'); await sleep(1000); p.kill('SIGTERM'); await sleep(6500); process.exit(0);
