/**
 * The journal of requests that carry an idempotency key: their intents and outcomes, divided among stored objects.
 */
@NullMarked
package org.radishspan.journal;

import org.jspecify.annotations.NullMarked;
