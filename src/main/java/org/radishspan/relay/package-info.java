/**
 * Requests on their way from callers to targets: admission, placing, sending, relaying, repeating.
 */
@NullMarked
package org.radishspan.relay;

import org.jspecify.annotations.NullMarked;
