/**
 * Error kinds and the failures that report them to callers.
 */
@NullMarked
package org.radishspan.error;

import org.jspecify.annotations.NullMarked;
