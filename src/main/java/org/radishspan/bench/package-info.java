/**
 * Benchmarks of routing and budget decisions that run real and model code on virtual time, and of capacity growth.
 */
@NullMarked
package org.radishspan.bench;

import org.jspecify.annotations.NullMarked;
