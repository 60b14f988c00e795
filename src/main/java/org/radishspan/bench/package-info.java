/**
 * Benchmarks of the decisions, on virtual time.
 */
@NullMarked
package org.radishspan.bench;

import org.jspecify.annotations.NullMarked;
