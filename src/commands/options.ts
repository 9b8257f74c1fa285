/** Options that several commands share. */
import {flag, option, string} from 'cmd-ts';

/** Where the administration API is, and the credential. */
export const administrationOptions = {
  admin: option({
    long: 'admin',
    type: string,
    env: 'CHICORYCOURSE_ADMIN',
    description: 'IP:PORT of the administration port of any daemon.',
  }),
  tokenFile: option({
    long: 'token-file',
    type: string,
    env: 'CHICORYCOURSE_TOKEN_FILE',
    description: 'File with the bearer token of a credential.',
  }),
};

/** `--json`: the answer as the API gave it. */
export const jsonFlag = flag({
  long: 'json',
  description: 'Print JSON instead of text.',
});
