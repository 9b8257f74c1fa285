/**
 * Allocates large buffers outside of the allocator's heap. The allocator keeps
 * memory of up to 32 MB a piece that was freed, so that after a crowd of large
 * bodies a process stays large. A resizable array buffer has pages of its own,
 * which return to the system once it is collected.
 */

/** Smaller buffers aren't worth whole pages. */
const MIN_BYTES = 128 * 1024;

/** A buffer whose content is undefined until it is written. */
export function allocateLarge(bytes: number): Buffer {
  if (bytes < MIN_BYTES) return Buffer.allocUnsafeSlow(bytes);
  // Never resized, since a socket may write from it.
  const options = {maxByteLength: bytes};
  return Buffer.from(new ResizableArrayBuffer(bytes, options), 0, bytes);
}

/** Node.js 20 has it; the types of its version of ECMAScript don't. */
const ResizableArrayBuffer = ArrayBuffer as new (
  bytes: number,
  options: {readonly maxByteLength: number},
) => ArrayBuffer;
