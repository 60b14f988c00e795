/**
 * Targets, their load, and the choice of one for a request.
 */
@NullMarked
package org.radishspan.routing;

import org.jspecify.annotations.NullMarked;
