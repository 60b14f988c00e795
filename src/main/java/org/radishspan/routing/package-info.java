/** The targets of requests, their load and limits, and the choice of a target for each request. */
@NullMarked
package org.radishspan.routing;

import org.jspecify.annotations.NullMarked;
