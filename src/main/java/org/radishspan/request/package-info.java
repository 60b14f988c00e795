/**
 * Requests from callers and the systems that carry them to an answer.
 */
@NullMarked
package org.radishspan.request;

import org.jspecify.annotations.NullMarked;
