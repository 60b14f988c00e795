/**
 * A router on the users' platform: the wiring of its systems, and the process around them.
 */
@NullMarked
package org.radishspan.front;

import org.jspecify.annotations.NullMarked;
