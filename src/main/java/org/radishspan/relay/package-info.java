/** Relays requests from callers to targets, and answers back to the callers: admission, placement and repeated sends. */
@NullMarked
package org.radishspan.relay;

import org.jspecify.annotations.NullMarked;
