/** Schema of the customer that a peer names in a reservation. */
import * as z from 'zod';

/** Far above the names that operators choose; bounds what a gate keeps. */
const MAX_NAME_LENGTH = 1000;

/** Validates a customer; requests without one are valid too. */
export const customerSchema = z.string().min(1).max(MAX_NAME_LENGTH).optional();
