/**
 * A router on the users' platform: the composition of its systems, and the process with sockets and clock that runs them.
 */
@NullMarked
package org.radishspan.front;

import org.jspecify.annotations.NullMarked;
