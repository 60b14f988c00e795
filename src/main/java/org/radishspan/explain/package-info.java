/** Explains the outcome of a request from the log lines of one or more routers. */
@NullMarked
package org.radishspan.explain;

import org.jspecify.annotations.NullMarked;
