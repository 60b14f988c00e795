/**
 * The closed list of error kinds and the failures that carry them.
 */
@NullMarked
package org.radishspan.error;

import org.jspecify.annotations.NullMarked;
