/**
 * Intents and outcomes of requests that carry an idempotency key.
 */
@NullMarked
package org.radishspan.journal;

import org.jspecify.annotations.NullMarked;
