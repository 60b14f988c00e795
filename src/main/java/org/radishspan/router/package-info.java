/**
 * A router assembled from tables, systems and ports, and the process around it.
 */
@NullMarked
package org.radishspan.router;

import org.jspecify.annotations.NullMarked;
