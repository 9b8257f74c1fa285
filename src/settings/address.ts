/** Addresses in the form of the settings: `IP:PORT`. */

/** A parsed address. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits `IP:PORT`, whose form the settings schema has checked. */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(':');
  return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
