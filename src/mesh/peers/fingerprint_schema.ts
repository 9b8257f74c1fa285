/** Schema of what peers tell about the fingerprints of requests. */
import * as z from 'zod';
import {FINGERPRINT_PATTERN} from '../router/fingerprint.js';
import {MAX_AGE_MS, MAX_ENDS, MAX_RECORDS} from '../router/query_of_death.js';

const MAX_ID_LENGTH = 200;
const ageMs = z.number().int().min(0).max(MAX_AGE_MS);
const endSchema = z.object({
  instance: z.string().min(1).max(MAX_ID_LENGTH),
  ageMs,
});

/** Validates the records of a peer. */
export const fingerprintRecordsSchema = z
  .array(
    z.object({
      fingerprint: z.string().regex(FINGERPRINT_PATTERN),
      ends: z.array(endSchema).max(MAX_ENDS),
      succeededAgeMs: ageMs.optional(),
      trialAgeMs: ageMs.optional(),
    }),
  )
  .max(MAX_RECORDS);
