/** Joins the log lines of several routers into one account of a request. */
@NullMarked
package org.radishspan.explain;

import org.jspecify.annotations.NullMarked;
