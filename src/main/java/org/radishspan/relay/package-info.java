/**
 * Requests on their way from callers to targets: admission, placing, sending, relaying, repeating.
 */
/** Relays requests from callers to targets, and answers back to the callers. */
@NullMarked
package org.radishspan.relay;

import org.jspecify.annotations.NullMarked;
