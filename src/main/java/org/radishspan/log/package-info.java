/**
 * Structured logging as one JSON object per line.
 */
@NullMarked
package org.radishspan.log;

import org.jspecify.annotations.NullMarked;
