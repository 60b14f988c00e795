/**
 * Requests of callers, and the systems that validate, claim, dispatch and bill them until they are answered.
 */
@NullMarked
package org.radishspan.request;

import org.jspecify.annotations.NullMarked;
