/** HTTP API through which instances announce, renew and withdraw themselves. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import polka from 'polka';
import {BodyBuffer} from '../http/body_buffer.js';
import {announcementSchema, type Instances} from './instances.js';

const MAX_BODY_BYTES = 4096;

export function serveAnnouncements(server: Server, instances: Instances): void {
  const app = polka()
    .put('/v1/instances/:id', async (req, res) => {
      const text = await readText(req);
      const result = announcementSchema.safeParse(parseJson(text));
      if (!result.success) return sendJson(res, 400, result.error.message);
      const isAccepted = instances.announce(
        String(req.params['id']),
        result.data,
      );
      if (isAccepted) sendJson(res, 204);
      else sendJson(res, 503, 'this daemon is leaving, announce to another');
    })
    .delete('/v1/instances/:id', (req, res) => {
      instances.withdraw(String(req.params['id']));
      sendJson(res, 204);
    });
  server.on('request', app.handler);
}

async function readText(req: IncomingMessage): Promise<string> {
  const received = new BodyBuffer();
  for await (const chunk of req) {
    received.append(chunk as Buffer);
    if (received.sizeBytes > MAX_BODY_BYTES) return '';
  }
  return received.toBuffer().toString();
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function sendJson(res: ServerResponse, status: number, detail?: string): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(detail === undefined ? undefined : JSON.stringify({error: detail}));
}
