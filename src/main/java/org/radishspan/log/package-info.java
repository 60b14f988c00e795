/**
 * JSON lines logging.
 */
@NullMarked
package org.radishspan.log;

import org.jspecify.annotations.NullMarked;
