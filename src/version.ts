/** The version of this program, as `--version` prints it. */
export const VERSION = '0.1.0';
