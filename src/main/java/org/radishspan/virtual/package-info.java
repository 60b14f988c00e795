/**
 * Runs real routers on simulated time, with simulated platform, connections and targets that can fail, for tests and
 * benchmarks.
 */
@NullMarked
package org.radishspan.virtual;

import org.jspecify.annotations.NullMarked;
